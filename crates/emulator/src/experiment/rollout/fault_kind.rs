use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;

/// What a trial's new version, or its surroundings, suffer from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Nothing.
    Good,
    /// A third of the nodes die in the middle and are replaced.
    GoodNodesDie,
    /// The load doubles in the middle.
    GoodLoadDoubles,
    /// Requests fail from the start.
    FailsAtOnce,
    /// Requests are slower from the start.
    SlowsAtOnce,
    /// Requests fail once half of the traffic is over.
    FailsLater,
    /// Requests are slower once half of the traffic is over.
    SlowsLater,
    /// Requests fail once all traffic is over.
    FailsAfterAll,
    /// Requests are slower once all traffic is over.
    SlowsAfterAll,
    /// Requests fail while the new version has more than 60% of the traffic.
    FailsUnderLoad,
    /// Requests fail on the route with one request in a hundred.
    FailsOnOneRoute,
    /// Requests are slower on the route with one request in a hundred.
    SlowsOnOneRoute,
    /// Requests crash their server, which is back 5 s later.
    Crashes,
    /// Both versions are three times slower for a fifth of the time.
    WholeServiceSlow,
    /// Both versions fail one request in five for a fifth of the time.
    WholeServiceFails,
    /// One server of the new version fails every other request.
    SickServer,
    /// The new version's servers are five times slower for their first 30 s.
    ColdServers,
    /// One data centre is cut off for the middle half of the time.
    CutOff,
    /// Three requests in ten on the new version are the caller's own mistake.
    CallerMistakes,
    /// One twentieth of the traffic.
    FewRequests,
}

/// What a trial's move should end in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WantedEnd {
    /// Done by its time.
    DoneInTime,
    /// Taken back.
    TakenBack,
    /// Anything but taken back.
    NotTakenBack,
}

impl FaultKind {
    /// Every kind.
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

    /// Returns what a move should end in.
    #[must_use]
    pub const fn wanted_end(self) -> WantedEnd {
        match self {
            Self::Good | Self::GoodNodesDie | Self::GoodLoadDoubles => WantedEnd::DoneInTime,
            Self::FailsAtOnce
            | Self::SlowsAtOnce
            | Self::FailsLater
            | Self::SlowsLater
            | Self::FailsAfterAll
            | Self::SlowsAfterAll
            | Self::FailsUnderLoad
            | Self::FailsOnOneRoute
            | Self::SlowsOnOneRoute
            | Self::Crashes => WantedEnd::TakenBack,
            _ => WantedEnd::NotTakenBack,
        }
    }

    /// Returns whether the fault makes requests slower instead of failing them.
    #[must_use]
    pub const fn is_slow(self) -> bool {
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
