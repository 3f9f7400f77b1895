use std::collections::VecDeque;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::RequestRate,
};

/// Time by which requests may run ahead of the rate, so that a short burst need not wait.
const BURST_TIME: TimeBudget = TimeBudget::from_millis(250);
/// Window in which the requests to a cold server are counted, by the users' rules.
const WINDOW: TimeBudget = TimeBudget::from_secs(1);
/// Longest interval between two requests to a cold server, so that no rate stops a service.
const MAX_INTERVAL: TimeBudget = TimeBudget::from_secs(2);

/// Limit of a server while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Rate of requests that it bears from all nodes together.
    pub rate: RequestRate,
    /// End of the time for which it counts as cold.
    pub cold_until: ClockInstant,
    /// When this node learned of the server and began to count the requests to it.
    pub known_from: ClockInstant,
}

/// Limits the requests to a cold server to the rate that it bears, in every sliding second.
///
/// Load answered: a warm server that runs many times this rate turns cold at any moment. The starts
/// of the second before are therefore counted while the server is warm, too; those that are already
/// too many let none follow until the window has moved on.
#[derive(Clone, Debug)]
pub struct ColdPacer {
    rate: RequestRate,
    /// Latest starts, oldest first; as many as one window may hold.
    starts: VecDeque<ClockInstant>,
    /// Instant up to which the rate covers the requests that have started.
    covered_until: ClockInstant,
    /// End of the time for which the server counts as cold.
    cold_until: ClockInstant,
}

impl ColdPacer {
    /// Creates a pacer for a server whose starts until [`ColdLimit::known_from`] are unknown:
    /// another process of this node may have used up the rate of the second before.
    #[must_use]
    pub fn new(limit: ColdLimit) -> Self {
        Self {
            rate: limit.rate,
            starts: [limit.known_from].repeat(window_count(limit.rate)).into(),
            covered_until: limit.known_from,
            cold_until: limit.cold_until,
        }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, now: ClockInstant, limit: ColdLimit) {
        if limit.rate != self.rate {
            // The starts of the preceding second do not fit the new rate's window.
            let known_from = now;
            *self = Self::new(ColdLimit {
                known_from,
                ..limit
            });
        }
        self.cold_until = limit.cold_until;
    }

    /// Returns the instant from which the next request may start.
    #[must_use]
    pub fn next_start(&self) -> ClockInstant {
        let oldest = self.starts.front().copied().unwrap_or_default();
        let window_end = oldest.after(WINDOW.max(self.interval()));
        let paced = self.covered_until.before(BURST_TIME);
        window_end.max(paced).min(self.cold_until)
    }

    /// Returns the instant from which a request may start if `ahead` others start before it.
    #[must_use]
    pub fn start_after(&self, now: ClockInstant, ahead: usize) -> ClockInstant {
        let micros = self.interval().as_micros().saturating_mul(ahead as u64);
        self.next_start()
            .max(now.before(BURST_TIME))
            .after(TimeBudget::from_micros(micros))
            .min(self.cold_until)
            .max(now)
    }

    /// Counts a request as started.
    pub fn count_start(&mut self, now: ClockInstant) {
        self.starts.pop_front();
        self.starts.push_back(now);
        if !self.cold_until.has_passed(now) {
            self.covered_until = self.covered_until.max(now).after(self.interval());
        }
    }

    fn interval(&self) -> TimeBudget {
        let interval = self.rate.interval().unwrap_or(MAX_INTERVAL);
        interval.min(MAX_INTERVAL)
    }
}

/// Returns the number of requests that one window may hold.
fn window_count(rate: RequestRate) -> usize {
    (rate.per_second() * WINDOW.as_secs_f64()).floor().max(1.0) as usize
}
