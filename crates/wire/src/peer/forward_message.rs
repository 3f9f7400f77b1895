use bronzelb_kernel::{
    clock::TimeBudget,
    config::{HttpMethod, RequestPriority},
    ids::{BackendName, BuildVersion, ContentHash, IdempotencyKey, RouteName},
    request::ServerLoad,
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpHeader {
    /// Lowercase name.
    pub name: CompactString,
    /// Value, byte for byte as received.
    pub value: Bytes,
}

/// A client request forwarded to the node that is co-located with the selected backend server.
///
/// The deadline is carried by the RPC context rather than by this message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Request ID, unique within the mesh.
    pub request_id: CompactString,
    /// Route matched by the entry node.
    pub route: RouteName,
    /// Backend server selected by the entry node; `None` before selection.
    pub backend: Option<BackendName>,
    /// Idempotency key sent by the client, if any.
    pub key: Option<IdempotencyKey>,
    /// Hash of the route, method, target and body.
    pub fingerprint: ContentHash,
    /// Priority of the matched route.
    pub priority: RequestPriority,
    /// Time the client has already spent on its own earlier attempts, where it reports this.
    pub waited: TimeBudget,
    /// Attempt number, 1 for the first; it keeps counting along a chain of calls.
    pub attempt: u32,
    /// HTTP method.
    pub method: HttpMethod,
    /// Path and query.
    pub target: CompactString,
    /// End-to-end request headers.
    pub headers: Vec<HttpHeader>,
    /// Complete request body.
    pub body: Bytes,
}

/// A complete backend server response, returned to the entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end response headers.
    pub headers: Vec<HttpHeader>,
    /// Complete response body.
    pub body: Bytes,
    /// Backend server that handled the request.
    pub backend: BackendName,
    /// Build version of that backend server.
    pub version: BuildVersion,
    /// Backend server load as observed by its co-located node.
    pub load: ServerLoad,
}
