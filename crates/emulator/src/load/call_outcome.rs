use bronzelb_kernel::error::MeshError;
use serde::{Deserialize, Serialize};

use crate::http::{CallRequest, CallResponse};

/// Outcome of one call of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// Complete response to this request with a success status.
    Done,
    /// Success status with a response that belongs to another request or to none.
    WrongAnswer,
    /// Failure for which the mesh reports that the request did not run.
    NotRun,
    /// Failure for which the mesh reports that the request ran.
    Failed,
    /// Failure for which the mesh reports an unknown outcome.
    OutcomeUnknown,
    /// Failure without an execution state from the mesh, such as a backend server's own error.
    Unmarked,
    /// No complete response: the connection failed or broke, or the call timed out.
    NoAnswer,
}

impl CallOutcome {
    /// Classifies the result of a request.
    #[must_use]
    pub fn of(request: &CallRequest, result: &Result<CallResponse, MeshError>) -> Self {
        let Ok(answer) = result else {
            return Self::NoAnswer;
        };
        if (200..300).contains(&answer.status) {
            return if answer.is_response_to(request) {
                Self::Done
            } else {
                Self::WrongAnswer
            };
        }
        match answer.run_state() {
            "not-run" => Self::NotRun,
            "ran" => Self::Failed,
            "outcome-unknown" => Self::OutcomeUnknown,
            _ => Self::Unmarked,
        }
    }
}
