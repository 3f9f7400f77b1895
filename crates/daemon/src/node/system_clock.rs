use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bronzelb_kernel::clock::ClockInstant;

/// Clock that starts at the system's time and from then on never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start_micros: u64,
    start: Instant,
}

impl SystemClock {
    /// Starts a clock at the system's time.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start_micros: micros(since_epoch.as_micros()),
            start: Instant::now(),
        }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> ClockInstant {
        let elapsed = micros(self.start.elapsed().as_micros());
        ClockInstant::from_micros(self.start_micros.saturating_add(elapsed))
    }
}

fn micros(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
