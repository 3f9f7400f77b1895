use std::time::{SystemTime, UNIX_EPOCH};

use bronzelb_kernel::clock::ClockInstant;

/// Reads the machine's clock, by which the deadlines of calls are set.
#[must_use]
pub fn wall_clock() -> ClockInstant {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockInstant::from_micros(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
