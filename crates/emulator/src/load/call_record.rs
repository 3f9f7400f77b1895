use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load::CallOutcome;

/// One call of a load, for comparing with the backend servers' journals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Name of the route.
    pub route: String,
    /// Path and query of the request, unique in the load.
    pub target: String,
    /// Idempotency key, empty without one.
    pub key: String,
    /// What the call came to.
    pub outcome: CallOutcome,
    /// HTTP status, zero without an answer.
    pub status: u16,
    /// Kind of error that the mesh names, or what went wrong without an answer.
    pub error: String,
    /// Identifier that the mesh gave to the request.
    pub request_id: String,
    /// Version of the software that answered.
    pub build: String,
    /// Time from the instant at which the request was due.
    pub latency: Duration,
}
