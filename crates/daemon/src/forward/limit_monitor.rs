use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    member::StatedLimit,
};

/// Interval between two reports while a limit is in force.
const REPORT_INTERVAL: TimeBudget = TimeBudget::from_secs(4);

/// Counts the requests sent to a backend server, for comparison with the limit that it states.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitMonitor {
    limit: StatedLimit,
    sent: u32,
    reported_at: ClockInstant,
    report_due: ClockInstant,
}

/// Requests sent to a backend server since the previous report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitReport {
    /// Limit that was in force.
    pub(crate) previous: StatedLimit,
    /// Limit that is in force from now on.
    pub(crate) limit: StatedLimit,
    /// Requests sent.
    pub(crate) sent: u32,
    /// Time over which they were sent.
    pub(crate) period: TimeBudget,
}

impl LimitMonitor {
    /// Counts a request as sent.
    pub(crate) const fn count_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Records the limit in force and returns a report if a limit begins or ends, or regularly while
    /// one is in force.
    pub(crate) fn record_limit(
        &mut self,
        now: ClockInstant,
        limit: StatedLimit,
    ) -> Option<LimitReport> {
        let is_limited = limit.rate().is_some();
        let was_limited = self.limit.rate().is_some();
        let is_due = is_limited && self.report_due.has_passed(now);
        if was_limited == is_limited && !is_due {
            return None;
        }
        let report = LimitReport {
            previous: std::mem::replace(&mut self.limit, limit),
            limit,
            sent: std::mem::take(&mut self.sent),
            period: self.reported_at.elapsed(now),
        };
        self.reported_at = now;
        self.report_due = now.after(REPORT_INTERVAL);
        Some(report)
    }
}
