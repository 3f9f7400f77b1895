use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use bronzelb_kernel::clock::ClockInstant;

/// First reading of the system clock and of the monotonic clock.
static ORIGIN: OnceLock<(ClockInstant, Instant)> = OnceLock::new();

/// Returns the current time of the process's clock, which call deadlines are measured against.
///
/// The clock is initialized from the system clock and then advances with the monotonic clock, so a
/// step of the system clock neither shortens nor extends a pending call.
#[must_use]
pub fn wall_clock() -> ClockInstant {
    let (start, monotonic) = ORIGIN.get_or_init(|| (system_time(), Instant::now()));
    let elapsed = u64::try_from(monotonic.elapsed().as_micros()).unwrap_or(u64::MAX);
    ClockInstant::from_micros(start.as_micros().saturating_add(elapsed))
}

fn system_time() -> ClockInstant {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockInstant::from_micros(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
