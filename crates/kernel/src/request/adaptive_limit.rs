use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::SlotCount,
    request::AttemptOutcome,
};

/// Minimum limit; it keeps enough requests in flight to detect that the service has recovered.
const MIN_LIMIT: f64 = 2.0;
/// Multiplicative decrease; ten decreases, within 100 ms, cut the limit to about a third.
const DECREASE_FACTOR: f64 = 0.9;
/// Upper bound as a multiple of the declared slots; the excess queues, which keeps slots busy.
const MAX_SLOT_MULTIPLE: f64 = 2.0;
/// Minimum interval between two decreases, so that one burst of refusals counts once.
const MIN_DECREASE_INTERVAL: TimeBudget = TimeBudget::from_millis(10);

/// Adaptive concurrency limit of a node for one service.
///
/// Additive increase, multiplicative decrease: the limit grows by one per `limit` served requests,
/// up to twice the declared slots. It shrinks by a tenth, at most once per 10 ms, when the last
/// attempt of a request is refused.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    declared_slots: f64,
    limit: f64,
    next_decrease_at: ClockInstant,
}

impl AdaptiveLimit {
    /// Creates a limit for a service whose servers declare `declared_slots` slots in total.
    ///
    /// The limit starts at its upper bound, twice the declared slots.
    #[must_use]
    pub fn new(declared_slots: SlotCount) -> Self {
        let declared_slots = f64::from(declared_slots.get()).max(1.0);
        Self {
            declared_slots,
            limit: (declared_slots * MAX_SLOT_MULTIPLE).max(MIN_LIMIT),
            next_decrease_at: ClockInstant::default(),
        }
    }

    /// Updates the number of declared slots and scales the limit in proportion.
    pub fn set_declared_slots(&mut self, declared_slots: SlotCount) {
        let declared_slots = f64::from(declared_slots.get()).max(1.0);
        self.limit = (self.limit * declared_slots / self.declared_slots).max(MIN_LIMIT);
        self.declared_slots = declared_slots;
    }

    /// Records the outcome of one attempt; `is_last` is true if the request is not retried.
    ///
    /// A refusal that is followed by another attempt does not lower the limit: it shows that one
    /// server is full, not that the service is.
    pub fn record_outcome(&mut self, now: ClockInstant, outcome: AttemptOutcome, is_last: bool) {
        match outcome {
            AttemptOutcome::Served => self.increase(),
            AttemptOutcome::Shed if is_last => self.decrease(now),
            _ => {}
        }
    }

    /// Returns the current limit, rounded down.
    #[must_use]
    pub fn get(&self) -> SlotCount {
        SlotCount::new(self.limit as u32)
    }

    fn increase(&mut self) {
        let ceiling = (self.declared_slots * MAX_SLOT_MULTIPLE).max(MIN_LIMIT);
        self.limit = (self.limit + 1.0 / self.limit).min(ceiling);
    }

    fn decrease(&mut self, now: ClockInstant) {
        if !self.next_decrease_at.has_passed(now) {
            return;
        }
        self.next_decrease_at = now.after(MIN_DECREASE_INTERVAL);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
