use bronzelb_kernel::error::MeshError;
use serde::{Deserialize, Serialize};

use crate::http::{CallAnswer, CallRequest};

/// What one call of a load came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The whole answer to this very request, with a status of success.
    Done,
    /// A status of success with an answer that belongs to another request, or to none.
    WrongAnswer,
    /// A failure of which the mesh says that the request did not run.
    NotRun,
    /// A failure of which the mesh says that the request ran.
    Failed,
    /// A failure of which the mesh says that the outcome is unknown.
    OutcomeUnknown,
    /// A failure without a word of the mesh, such as a backend server's own.
    Unmarked,
    /// No whole answer: the connection failed or broke, or time was up.
    NoAnswer,
}

impl CallOutcome {
    /// Judges the answer to a request.
    #[must_use]
    pub fn of(request: &CallRequest, result: &Result<CallAnswer, MeshError>) -> Self {
        let Ok(answer) = result else {
            return Self::NoAnswer;
        };
        if (200..300).contains(&answer.status) {
            return if answer.is_answer_to(request) {
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
