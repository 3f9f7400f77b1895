use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load::CallOutcome;

/// One call of a load, for comparison with the backend servers' journals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Name of the route.
    pub route: String,
    /// Path and query of the request, unique within the load.
    pub target: String,
    /// Idempotency key; empty if the request has none.
    pub key: String,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// HTTP status; zero if there is no response.
    pub status: u16,
    /// Error kind that the mesh reports, or the client's error if there is no response.
    pub error: String,
    /// Request identifier assigned by the mesh.
    pub request_id: String,
    /// Version of the software that served the request.
    pub build: String,
    /// Time from the scheduled send time to the end of the call.
    pub latency: Duration,
}
