use crate::clock::{ClockInstant, TimeBudget};

/// Moving mean of requests per slot that fades to an assumption as its observations grow old.
///
/// The load it answers: a node sees a given server every few seconds only, but a server of its own
/// data centre many times a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadAverage {
    load_sum: f64,
    weight: f64,
    updated_at: ClockInstant,
}

impl LoadAverage {
    /// Records the requests per slot of a server; the weight of earlier observations falls to 1/e
    /// in `memory`.
    pub(crate) fn record(&mut self, now: ClockInstant, memory: TimeBudget, load: f64) {
        let kept = self.kept_share(now, memory);
        self.load_sum = self.load_sum * kept + load;
        self.weight = self.weight * kept + 1.0;
        self.updated_at = now;
    }

    /// Returns the expected requests per slot, where `assumed` counts as one observation.
    pub(crate) fn load(&self, now: ClockInstant, memory: TimeBudget, assumed: f64) -> f64 {
        let kept = self.kept_share(now, memory);
        (self.load_sum * kept + assumed) / (self.weight * kept + 1.0)
    }

    fn kept_share(&self, now: ClockInstant, memory: TimeBudget) -> f64 {
        let age = self.updated_at.elapsed(now).as_secs_f64();
        (-age / memory.as_secs_f64()).exp()
    }
}
