use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;

/// Fault that a trial injects into the new version or its environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// No fault.
    Good,
    /// A third of the nodes crash halfway and restart after 10 s.
    GoodNodesDie,
    /// The load doubles halfway.
    GoodLoadDoubles,
    /// Requests to the new version fail from the start.
    FailsAtOnce,
    /// Requests to the new version are slower from the start.
    SlowsAtOnce,
    /// Requests fail once the new version has half of the traffic.
    FailsLater,
    /// Requests are slower once the new version has half of the traffic.
    SlowsLater,
    /// Requests fail from 5 s after the new version has all traffic.
    FailsAfterAll,
    /// Requests are slower from 5 s after the new version has all traffic.
    SlowsAfterAll,
    /// Requests fail while the new version has more than 60% of the traffic.
    FailsUnderLoad,
    /// Requests fail on the route that has 1% of the requests.
    FailsOnOneRoute,
    /// Requests are slower on the route that has 1% of the requests.
    SlowsOnOneRoute,
    /// Requests crash their server, which restarts after 5 s.
    Crashes,
    /// Both versions are three times slower for a fifth of the time.
    WholeServiceSlow,
    /// Both versions fail 20% of the requests for a fifth of the time.
    WholeServiceFails,
    /// Requests fail on one server of the new version.
    SickServer,
    /// The new version's servers are five times slower for their first 30 s.
    ColdServers,
    /// One data centre is partitioned from the others for the middle half of the time.
    CutOff,
    /// 30% of the requests to the new version are rejected as caller errors.
    CallerMistakes,
    /// The traffic is 5% of the usual rate.
    FewRequests,
}

/// Expected outcome of a trial's move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedOutcome {
    /// The move is done by its deadline.
    DoneOnTime,
    /// The move is rolled back.
    RolledBack,
    /// The move is not rolled back, whether it is done or not.
    NotRolledBack,
}

impl FaultKind {
    /// All fault kinds.
    pub const ALL: [Self; 20] = [
        Self::Good,
        Self::GoodNodesDie,
        Self::GoodLoadDoubles,
        Self::FailsAtOnce,
        Self::SlowsAtOnce,
        Self::FailsLater,
        Self::SlowsLater,
        Self::FailsAfterAll,
        Self::SlowsAfterAll,
        Self::FailsUnderLoad,
        Self::FailsOnOneRoute,
        Self::SlowsOnOneRoute,
        Self::Crashes,
        Self::WholeServiceSlow,
        Self::WholeServiceFails,
        Self::SickServer,
        Self::ColdServers,
        Self::CutOff,
        Self::CallerMistakes,
        Self::FewRequests,
    ];

    /// Returns the name in the report and on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::GoodNodesDie => "good-nodes-die",
            Self::GoodLoadDoubles => "good-load-doubles",
            Self::FailsAtOnce => "fails-at-once",
            Self::SlowsAtOnce => "slows-at-once",
            Self::FailsLater => "fails-later",
            Self::SlowsLater => "slows-later",
            Self::FailsAfterAll => "fails-after-all",
            Self::SlowsAfterAll => "slows-after-all",
            Self::FailsUnderLoad => "fails-under-load",
            Self::FailsOnOneRoute => "fails-on-one-route",
            Self::SlowsOnOneRoute => "slows-on-one-route",
            Self::Crashes => "crashes",
            Self::WholeServiceSlow => "whole-service-slow",
            Self::WholeServiceFails => "whole-service-fails",
            Self::SickServer => "sick-server",
            Self::ColdServers => "cold-servers",
            Self::CutOff => "cut-off",
            Self::CallerMistakes => "caller-mistakes",
            Self::FewRequests => "few-requests",
        }
    }

    /// Returns the expected outcome of a move with this fault.
    #[must_use]
    pub const fn expected_outcome(self) -> ExpectedOutcome {
        match self {
            Self::Good | Self::GoodNodesDie | Self::GoodLoadDoubles => ExpectedOutcome::DoneOnTime,
            Self::FailsAtOnce
            | Self::SlowsAtOnce
            | Self::FailsLater
            | Self::SlowsLater
            | Self::FailsAfterAll
            | Self::SlowsAfterAll
            | Self::FailsUnderLoad
            | Self::FailsOnOneRoute
            | Self::SlowsOnOneRoute
            | Self::Crashes => ExpectedOutcome::RolledBack,
            _ => ExpectedOutcome::NotRolledBack,
        }
    }

    /// Returns whether the fault slows requests down instead of failing them.
    #[must_use]
    pub const fn is_slowdown(self) -> bool {
        matches!(
            self,
            Self::SlowsAtOnce | Self::SlowsLater | Self::SlowsAfterAll | Self::SlowsOnOneRoute
        )
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for FaultKind {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| MeshError::invalid(format!("fault kind {text:?} does not exist")))
    }
}
