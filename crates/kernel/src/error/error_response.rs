use std::fmt;

use serde::{Deserialize, Serialize};

/// What a caller is told about whether its request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request reached a backend server, or the server itself said so.
    NotRun,
    /// The request ran and its answer, or its failure, is known.
    Ran,
    /// The request reached a backend server and nothing is known about its outcome.
    OutcomeUnknown,
}

impl RunState {
    /// Returns the value of the `x-bronzelb-run` answer header.
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

/// The answer that belongs to an [`ErrorKind`](crate::error::ErrorKind).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct ErrorResponse {
    /// HTTP status towards callers and operators.
    pub status: u16,
    /// Exit code of the command-line tool.
    pub exit_code: u8,
    /// Whether the request ran.
    pub run_state: RunState,
    /// Whether the answer names a time to come back.
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
