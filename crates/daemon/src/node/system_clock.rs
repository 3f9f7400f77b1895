use bronzelb_kernel::clock::ClockInstant;
use bronzelb_store::http::wall_clock;

/// Clock of the node, which starts at the system's time and from then on never runs backwards.
///
/// It is the clock of the platform's client as well, so that a deadline means the same to both.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock;

impl SystemClock {
    /// Starts the clock at the system's time, unless it runs already.
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
