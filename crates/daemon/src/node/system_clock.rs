use bronzelb_kernel::clock::ClockInstant;
use bronzelb_store::http::wall_clock;

/// Clock of the node. It starts at the system time and never runs backwards.
///
/// The platform client uses the same clock, so both interpret deadlines alike.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock;

impl SystemClock {
    /// Starts the clock at the system time, unless it is running already.
    #[must_use]
    pub fn start() -> Self {
        let _ = wall_clock();
        Self
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> ClockInstant {
        wall_clock()
    }
}
