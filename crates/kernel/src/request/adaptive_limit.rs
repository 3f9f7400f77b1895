use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::SlotCount,
    request::AttemptOutcome,
};

/// Limit below which recovery would not show.
const MIN_LIMIT: f64 = 2.0;
/// Factor of a decrease; ten of them quarter the limit within a tenth of a second.
const DECREASE_FACTOR: f64 = 0.9;
/// Multiple of the declared slots that may be outstanding, so that a queue keeps them busy.
const HEADROOM: f64 = 2.0;
/// Shortest time between two decreases, so that one burst of refusals counts once.
const DECREASE_PAUSE: TimeBudget = TimeBudget::from_millis(10);

/// Number of requests that a node keeps outstanding at one service.
///
/// Grows by one per limit's worth of served requests up to twice the declared slots, and shrinks
/// by a tenth, at most once per pause, when no server takes a request.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    declared: f64,
    limit: f64,
    decrease_from: ClockInstant,
}

impl AdaptiveLimit {
    /// Builds a limit that starts at the declared slots of the service's servers.
    #[must_use]
    pub fn new(declared: SlotCount) -> Self {
        let declared = f64::from(declared.get()).max(1.0);
        Self {
            declared,
            limit: (declared * HEADROOM).max(MIN_LIMIT),
            decrease_from: ClockInstant::default(),
        }
    }

    /// Takes in a changed number of declared slots, keeping the limit's share of it.
    pub fn set_declared_slots(&mut self, declared: SlotCount) {
        let declared = f64::from(declared.get()).max(1.0);
        self.limit = (self.limit * declared / self.declared).max(MIN_LIMIT);
        self.declared = declared;
    }

    /// Takes in the end of one attempt; `is_last` tells that its request gets no further one.
    ///
    /// A refusal that another server makes good says that one server is full, not the service.
    pub fn record_outcome(&mut self, now: ClockInstant, outcome: AttemptOutcome, is_last: bool) {
        match outcome {
            AttemptOutcome::Served => self.grow(),
            AttemptOutcome::Shed if is_last => self.shrink(now),
            _ => {}
        }
    }

    /// Returns the limit.
    #[must_use]
    pub fn get(&self) -> SlotCount {
        SlotCount::new(self.limit as u32)
    }

    fn grow(&mut self) {
        let ceiling = (self.declared * HEADROOM).max(MIN_LIMIT);
        self.limit = (self.limit + 1.0 / self.limit).min(ceiling);
    }

    fn shrink(&mut self, now: ClockInstant) {
        if !self.decrease_from.has_passed(now) {
            return;
        }
        self.decrease_from = now.after(DECREASE_PAUSE);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
