use serde::{Deserialize, Serialize};

/// Response body of a backend stand-in; it identifies the request, so that a caller can detect a
/// response to another request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// Request id that the node sent.
    pub request: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Idempotency key of the request, empty without one.
    pub key: String,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
    /// Service of the backend server.
    pub service: String,
    /// Name of the backend server.
    pub backend: String,
    /// Software version that the backend server reports.
    pub version: String,
    /// Padding of the size that the request asked for.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}
