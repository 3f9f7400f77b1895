use crate::{clock::ClockInstant, config::VersionStamp};

/// Decides when a node that starts, or wakes after a pause, may serve.
///
/// The node first asks the platform for the newest version's stamp. When the platform does not
/// answer by the survey's deadline, the node goes by the peers that have answered until then. It
/// does not serve an older version than any that it heard of, unless the newer one cannot be had
/// until the last deadline.
#[derive(Clone, Debug)]
pub struct ReadinessGate {
    is_open: bool,
    has_platform_answer: bool,
    platform_deadline: ClockInstant,
    startup_deadline: ClockInstant,
}

impl ReadinessGate {
    /// Builds a closed gate.
    #[must_use]
    pub const fn new(platform_deadline: ClockInstant, startup_deadline: ClockInstant) -> Self {
        Self {
            is_open: false,
            has_platform_answer: false,
            platform_deadline,
            startup_deadline,
        }
    }

    /// Returns whether the node may serve.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Notes that the platform answered.
    pub fn platform_answered(&mut self) {
        self.has_platform_answer = true;
    }

    /// Opens the gate when the rules allow and returns whether it has just opened.
    ///
    /// `held` is the version that the node holds, `wanted` the newest other one it heard of.
    pub fn try_open(
        &mut self,
        held: Option<VersionStamp>,
        wanted: Option<VersionStamp>,
        now: ClockInstant,
    ) -> bool {
        if self.is_open || held.is_none() {
            return false;
        }
        let is_informed = self.has_platform_answer || self.platform_deadline.has_passed(now);
        let is_newest = wanted.is_none() || self.startup_deadline.has_passed(now);
        self.is_open = is_informed && is_newest;
        self.is_open
    }
}
