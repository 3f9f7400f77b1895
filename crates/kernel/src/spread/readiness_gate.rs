use crate::{clock::ClockInstant, config::VersionStamp};

/// Decides when a node may serve after a start or a pause.
///
/// The node first learns the stamp of the newest version from the platform, by a read of its own or
/// from a peer that has read it since the node's start. If it does not by the platform deadline, it
/// relies on the peers that have replied until then. It
/// does not serve a version older than the newest one it knows of, unless that one cannot be
/// fetched by the startup deadline.
#[derive(Clone, Debug)]
pub struct ReadinessGate {
    is_open: bool,
    has_platform_answer: bool,
    platform_deadline: ClockInstant,
    startup_deadline: ClockInstant,
}

impl ReadinessGate {
    /// Creates a closed gate.
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

    /// Returns whether the platform has answered this node, or a peer since this node's start.
    #[must_use]
    pub const fn has_platform_answer(&self) -> bool {
        self.has_platform_answer
    }

    /// Returns whether the platform has not answered by the platform deadline.
    #[must_use]
    pub const fn is_platform_overdue(&self, now: ClockInstant) -> bool {
        !self.has_platform_answer && self.platform_deadline.has_passed(now)
    }

    /// Records that the platform answered.
    pub fn record_platform_answer(&mut self) {
        self.has_platform_answer = true;
    }

    /// Opens the gate if the conditions are met, and returns whether this call opened it.
    ///
    /// `held` is the version that the node holds, `wanted` the newest known version that it still
    /// has to fetch.
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
