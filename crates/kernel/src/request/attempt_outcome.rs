use serde::{Deserialize, Serialize};

use crate::error::RunState;

/// How one attempt at running a request on a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The server returned a complete response that does not report a server failure.
    Served,
    /// The server returned a complete response that reports a server failure.
    Failed,
    /// The server or the node beside it was overloaded and refused the request without running it.
    Shed,
    /// No byte of the request reached a server.
    Unreached,
    /// The request reached a server, but no complete response to it was received.
    Lost,
    /// The request reached a server, but its deadline passed before a response was received.
    TimedOut,
    /// The caller disconnected while the request was running, or its key was revoked before it ran.
    Abandoned,
}

impl AttemptOutcome {
    /// Returns the name used in logs and metrics.
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

    /// Returns whether the request ran, as far as the outcome tells.
    #[must_use]
    pub const fn run_state(self) -> RunState {
        match self {
            Self::Served | Self::Failed => RunState::Ran,
            Self::Shed | Self::Unreached => RunState::NotRun,
            Self::Lost | Self::TimedOut | Self::Abandoned => RunState::OutcomeUnknown,
        }
    }
}
