/// Consecutive contrary reports that change the accepted state.
const MIN_CONTRARY_REPORTS: u32 = 3;

/// Debounces the health that a backend server reports for itself.
///
/// The accepted state changes only after several consecutive reports of the opposite state, so
/// that a flapping server does not cause updates throughout the mesh. A missing or unreadable
/// report resets the count.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::request::HealthDebouncer;
///
/// let mut debouncer = HealthDebouncer::default();
/// assert!(!debouncer.observe(Some(false)));
/// assert!(!debouncer.observe(Some(false)));
/// assert!(debouncer.observe(Some(false)));
/// assert!(!debouncer.is_healthy());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthDebouncer {
    is_healthy: bool,
    contrary_reports: u32,
}

impl HealthDebouncer {
    /// Processes one report, `None` if missing or unreadable; returns whether the accepted state
    /// changed.
    pub const fn observe(&mut self, reported: Option<bool>) -> bool {
        match reported {
            Some(healthy) if healthy != self.is_healthy => self.contrary_reports += 1,
            _ => self.contrary_reports = 0,
        }
        if self.contrary_reports < MIN_CONTRARY_REPORTS {
            return false;
        }
        self.is_healthy = !self.is_healthy;
        self.contrary_reports = 0;
        true
    }

    /// Returns the accepted health state.
    #[must_use]
    pub const fn is_healthy(&self) -> bool {
        self.is_healthy
    }
}

impl Default for HealthDebouncer {
    fn default() -> Self {
        Self {
            is_healthy: true,
            contrary_reports: 0,
        }
    }
}
