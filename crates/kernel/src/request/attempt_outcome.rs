use serde::{Deserialize, Serialize};

use crate::error::RunState;

/// How one attempt at running a request on a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// A whole answer came, and it does not report a failure of the server.
    Served,
    /// A whole answer came, and it reports a failure of the server.
    Failed,
    /// The server, or the node beside it, refused for lack of room before running the request.
    Shed,
    /// No byte of the request reached a server.
    Unreached,
    /// The request reached a server, and no whole answer of its own came back.
    Lost,
    /// The request reached a server, and its deadline passed before an answer came.
    TimedOut,
    /// The caller went away while the request ran.
    Abandoned,
}

impl AttemptOutcome {
    /// Returns the name that appears in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Failed => "failed",
            Self::Shed => "shed",
            Self::Unreached => "unreached",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
            Self::Abandoned => "abandoned",
        }
    }

    /// Returns what is known about whether the request ran.
    #[must_use]
    pub const fn run_state(self) -> RunState {
        match self {
            Self::Served | Self::Failed => RunState::Ran,
            Self::Shed | Self::Unreached => RunState::NotRun,
            Self::Lost | Self::TimedOut | Self::Abandoned => RunState::OutcomeUnknown,
        }
    }
}
