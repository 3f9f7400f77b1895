use crate::clock::{ClockInstant, TimeBudget};

/// A node's lease on its own duties, renewed by its own timer.
///
/// A process that was paused finds, at its first step after the pause, that the lease has lapsed.
/// It then acts on nothing that it held before the pause until it has rejoined.
#[derive(Clone, Copy, Debug)]
pub struct LeaseGuard {
    deadline: ClockInstant,
}

impl LeaseGuard {
    /// Starts a lease that lasts until `lease` after `now`.
    #[must_use]
    pub const fn new(now: ClockInstant, lease: TimeBudget) -> Self {
        Self {
            deadline: now.after(lease),
        }
    }

    /// Renews the lease, unless it has lapsed; returns whether it still held.
    pub fn renew(&mut self, now: ClockInstant, lease: TimeBudget) -> bool {
        let was_valid = self.is_valid(now);
        self.deadline = now.after(lease);
        was_valid
    }

    /// Returns whether the lease holds at `now`.
    #[must_use]
    pub const fn is_valid(&self, now: ClockInstant) -> bool {
        !self.deadline.has_passed(now)
    }

    /// Returns when the lease lapses.
    #[must_use]
    pub const fn deadline(&self) -> ClockInstant {
        self.deadline
    }
}
