use crate::clock::{ClockInstant, TimeBudget};

/// Lease that a node holds on its own role and renews by its own timer.
///
/// After a pause of the process, its first step finds the lease expired. The node then does not act
/// on its earlier state until it has rejoined the mesh.
#[derive(Clone, Copy, Debug)]
pub struct LeaseGuard {
    deadline: ClockInstant,
}

impl LeaseGuard {
    /// Creates a lease that expires `lease` after `now`.
    #[must_use]
    pub const fn new(now: ClockInstant, lease: TimeBudget) -> Self {
        Self {
            deadline: now.after(lease),
        }
    }

    /// Renews the lease and returns whether it was still valid before.
    pub fn renew(&mut self, now: ClockInstant, lease: TimeBudget) -> bool {
        let was_valid = self.is_valid(now);
        self.deadline = now.after(lease);
        was_valid
    }

    /// Returns whether the lease is valid at `now`.
    #[must_use]
    pub const fn is_valid(&self, now: ClockInstant) -> bool {
        !self.deadline.has_passed(now)
    }

    /// Returns when the lease expires.
    #[must_use]
    pub const fn deadline(&self) -> ClockInstant {
        self.deadline
    }
}
