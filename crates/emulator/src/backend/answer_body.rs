use serde::{Deserialize, Serialize};

/// Body of a backend stand-in's answer, by which a caller recognises its own request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Request id that the node sent.
    pub request: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Idempotency key of the request, empty without one.
    pub key: String,
    /// Number of bytes in the request's body.
    pub body_bytes: usize,
    /// Service that answered.
    pub service: String,
    /// Backend server that answered.
    pub backend: String,
    /// Version that it claims to run.
    pub version: String,
    /// Filling up to the size that the request asked for.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}
