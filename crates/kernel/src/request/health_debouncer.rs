const MIN_STREAK: u32 = 3;

/// Steadies what a backend server reports of its own health.
///
/// The accepted state changes only after several reports in a row say the opposite, so that a
/// flapping report does not travel through the mesh. A report that is missing or unreadable says
/// nothing and breaks the row.
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
    streak: u32,
}

impl HealthDebouncer {
    /// Takes in one report's health and returns whether the accepted state changed.
    pub const fn observe(&mut self, reported: Option<bool>) -> bool {
        match reported {
            Some(health) if health != self.is_healthy => self.streak += 1,
            _ => self.streak = 0,
        }
        if self.streak < MIN_STREAK {
            return false;
        }
        self.is_healthy = !self.is_healthy;
        self.streak = 0;
        true
    }

    /// Returns the accepted state.
    #[must_use]
    pub const fn is_healthy(&self) -> bool {
        self.is_healthy
    }
}

impl Default for HealthDebouncer {
    fn default() -> Self {
        Self {
            is_healthy: true,
            streak: 0,
        }
    }
}
