use std::fmt;

use serde::{Deserialize, Serialize};

/// Execution state of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request reached a backend server, or the server reported that the request did
    /// not run.
    NotRun,
    /// The request ran, and its response or failure is known.
    Ran,
    /// The request reached a backend server and its outcome is unknown.
    OutcomeUnknown,
}

impl RunState {
    /// Returns the value of the `x-bronzelb-run` response header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::OutcomeUnknown => "outcome-unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Response to an error of one [`ErrorKind`](crate::error::ErrorKind).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct ErrorResponse {
    /// HTTP status for callers and operators.
    pub status: u16,
    /// Exit code of the command-line tool.
    pub exit_code: u8,
    /// Execution state of the request.
    pub run_state: RunState,
    /// Whether the response states when to retry.
    pub has_retry_after: bool,
}

impl ErrorResponse {
    pub(crate) const fn new(
        status: u16,
        exit_code: u8,
        run_state: RunState,
        has_retry_after: bool,
    ) -> Self {
        Self {
            status,
            exit_code,
            run_state,
            has_retry_after,
        }
    }
}
