use crate::clock::TimeBudget;

/// Bound on how far the requests of a capped account may exceed its cap.
///
/// In any span of the window, at most (rate x window + burst) x (1 + overage) + slack requests may
/// run. Operators set it for a whole mesh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageBound {
    /// Span in which requests are counted.
    pub window: TimeBudget,
    /// Permitted excess as a share of what the cap allows in the window.
    pub overage: f64,
    /// Requests that may run in addition.
    pub slack: u32,
}

impl Default for UsageBound {
    /// Returns the bound of the users' platform.
    fn default() -> Self {
        Self {
            window: TimeBudget::from_secs(5),
            overage: 0.1,
            slack: 20,
        }
    }
}
