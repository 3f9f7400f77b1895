use std::sync::atomic::{AtomicU64, Ordering};

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

/// Time without contact with any other node after which this VM's network may have been silent.
/// Nodes exchange messages about once a second; the users' outages last for some seconds.
const SILENCE: TimeBudget = TimeBudget::from_secs(2);

/// Instant of this node's latest contact with another node.
#[derive(Debug)]
pub struct ContactMonitor {
    contact_at: AtomicU64,
}

impl ContactMonitor {
    /// Creates a monitor with a contact at `now`.
    #[must_use]
    pub const fn new(now: ClockInstant) -> Self {
        Self {
            contact_at: AtomicU64::new(now.as_micros()),
        }
    }

    /// Records a contact and returns whether it ends a silence.
    pub fn record_contact(&self, now: ClockInstant) -> bool {
        let previous = self
            .contact_at
            .fetch_max(now.as_micros(), Ordering::Relaxed);
        ClockInstant::from_micros(previous)
            .after(SILENCE)
            .has_passed(now)
    }
}
