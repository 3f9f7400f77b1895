use bronzelb_kernel::{
    clock::TimeBudget,
    config::{HttpMethod, RequestPriority},
    ids::{BackendName, BuildVersion, ContentHash, IdempotencyKey, RouteName},
    request::ServerLoad,
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderPair {
    /// Name in lower case.
    pub name: CompactString,
    /// Value as received.
    pub value: Bytes,
}

/// A caller's request on its way to the node beside the chosen backend server.
///
/// The time left until the request's deadline travels in the procedure call's own context.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Identifier of the request, unique in the mesh.
    pub request_id: CompactString,
    /// Route that the entry node matched.
    pub route: RouteName,
    /// Backend server that the entry node chose; unset until then.
    pub backend: Option<BackendName>,
    /// Caller's key, if it sent one.
    pub key: Option<IdempotencyKey>,
    /// Hash of route, method, target and body.
    pub fingerprint: ContentHash,
    /// Priority of the route.
    pub priority: RequestPriority,
    /// Time that the caller has waited for earlier attempts of its own, as far as it shows.
    pub waited: TimeBudget,
    /// Number of this attempt, 1 for the first; further up a chain of calls it counts on.
    pub attempt: u32,
    /// Method of the request.
    pub method: HttpMethod,
    /// Path and query of the request.
    pub target: CompactString,
    /// End-to-end headers of the request.
    pub headers: Vec<HeaderPair>,
    /// Whole body of the request.
    pub body: Bytes,
}

/// A backend server's whole answer on its way back to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers of the answer.
    pub headers: Vec<HeaderPair>,
    /// Whole body of the answer.
    pub body: Bytes,
    /// Backend server that answered.
    pub backend: BackendName,
    /// Version of the software that answered.
    pub version: BuildVersion,
    /// Load of the server, as the node beside it sees it.
    pub load: ServerLoad,
}
