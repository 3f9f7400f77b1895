use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use bronzelb_kernel::clock::ClockInstant;

/// Instant of the first reading, by the system's clock and by the steady one.
static ORIGIN: OnceLock<(ClockInstant, Instant)> = OnceLock::new();

/// Reads the process's clock, by which the deadlines of calls are set.
///
/// The clock starts at the system's time and from then on follows the steady clock, so that a
/// step of the time of day neither ends a call early nor lets it wait longer.
#[must_use]
pub fn wall_clock() -> ClockInstant {
    let (start, steady) = ORIGIN.get_or_init(|| (system_time(), Instant::now()));
    let elapsed = u64::try_from(steady.elapsed().as_micros()).unwrap_or(u64::MAX);
    ClockInstant::from_micros(start.as_micros().saturating_add(elapsed))
}

fn system_time() -> ClockInstant {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockInstant::from_micros(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
