use crate::{
    clock::{ClockInstant, TimeBudget},
    member::StatedLimit,
};

/// Time by which requests may run ahead of the stated rate, so that a short burst need not wait.
const BURST_TIME: TimeBudget = TimeBudget::from_millis(250);
/// Longest interval between two requests: a server that takes almost none, or none, is still asked
/// now and then whether its limit has changed.
const MAX_INTERVAL: TimeBudget = TimeBudget::from_secs(2);
/// Longest time for which a lowered limit holds back requests because of those sent before it.
const MAX_CARRIED_TIME: TimeBudget = TimeBudget::from_secs(2);

/// Spaces requests to a backend server by the rate limit that it states.
///
/// The node beside the server sends every request to it, so one pacer enforces the limit for all
/// nodes together. Uses the generic cell rate algorithm.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::{clock::ClockInstant, member::StatedLimit, request::RatePacer};
///
/// let mut pacer = RatePacer::default();
/// let now = ClockInstant::from_millis(1_000);
/// assert!(pacer.may_start(now));
/// let rate = "1".parse().expect("is a rate");
/// pacer.record_statement(now, now, StatedLimit::Limited(rate));
/// pacer.count_start(now);
/// assert!(!pacer.may_start(now));
/// assert!(pacer.may_start(ClockInstant::from_millis(2_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RatePacer {
    limit: StatedLimit,
    /// Instant of the latest response that stated a limit.
    limited_at: ClockInstant,
    /// Instant up to which the rate covers the requests that have started.
    covered_until: ClockInstant,
}

impl RatePacer {
    /// Returns the limit in force.
    #[must_use]
    pub const fn limit(&self) -> StatedLimit {
        self.limit
    }

    /// Records what the response to a request sent at `sent_at` states, and returns whether the
    /// limit in force has changed.
    ///
    /// Responses may overtake each other. A response without a limit ends the limit only if its
    /// request was sent after the latest statement of a limit.
    pub fn record_statement(
        &mut self,
        now: ClockInstant,
        sent_at: ClockInstant,
        limit: StatedLimit,
    ) -> bool {
        match limit {
            StatedLimit::Unknown => return false,
            StatedLimit::Unlimited if sent_at < self.limited_at => return false,
            StatedLimit::Unlimited => {}
            StatedLimit::Limited(_) => self.limited_at = now,
        }
        self.set_limit(now, limit)
    }

    /// Adopts a limit that another node knows, until the server's own first response.
    ///
    /// Returns whether the limit in force has changed.
    pub fn adopt_limit(&mut self, now: ClockInstant, limit: StatedLimit) -> bool {
        self.limit == StatedLimit::Unknown && self.set_limit(now, limit)
    }

    /// Returns whether a request may start now.
    #[must_use]
    pub fn may_start(&self, now: ClockInstant) -> bool {
        self.next_start().has_passed(now)
    }

    /// Returns the instant from which the next request may start.
    #[must_use]
    pub fn next_start(&self) -> ClockInstant {
        match self.interval() {
            Some(_) => self.covered_until.before(BURST_TIME),
            None => ClockInstant::default(),
        }
    }

    /// Returns the instant from which a request may start if `ahead` others start before it.
    #[must_use]
    pub fn start_after(&self, now: ClockInstant, ahead: usize) -> ClockInstant {
        let Some(interval) = self.interval() else {
            return now;
        };
        let micros = interval.as_micros().saturating_mul(ahead as u64);
        self.next_start()
            .max(now.before(BURST_TIME))
            .after(TimeBudget::from_micros(micros))
            .max(now)
    }

    /// Counts a request as started.
    pub fn count_start(&mut self, now: ClockInstant) {
        if let Some(interval) = self.interval() {
            self.covered_until = self.covered_until.max(now).after(interval);
        }
    }

    fn set_limit(&mut self, now: ClockInstant, limit: StatedLimit) -> bool {
        if limit == self.limit {
            return false;
        }
        let previous = self.interval();
        self.limit = limit;
        let (Some(previous), Some(interval)) = (previous, self.interval()) else {
            self.covered_until = now;
            return true;
        };
        // The requests that the rate does not cover yet count at the new rate.
        let carried = self.covered_until.remaining(now).as_micros();
        let rescaled = u128::from(carried) * u128::from(interval.as_micros())
            / u128::from(previous.as_micros().max(1));
        let rescaled = u64::try_from(rescaled).unwrap_or(u64::MAX);
        let carried = TimeBudget::from_micros(rescaled).min(MAX_CARRIED_TIME);
        self.covered_until = now.after(carried);
        true
    }

    fn interval(&self) -> Option<TimeBudget> {
        let rate = self.limit.rate()?;
        let interval = rate.interval().unwrap_or(MAX_INTERVAL);
        Some(interval.min(MAX_INTERVAL))
    }
}
