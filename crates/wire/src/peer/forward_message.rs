use bronzelb_kernel::{
    account::CheckedKey,
    clock::TimeBudget,
    config::{HttpMethod, RequestPriority},
    ids::{BackendName, BuildVersion, ContentHash, IdempotencyKey, RouteName, ServiceName},
    member::{BackendIncarnation, StatedLimit},
    request::{AccountRank, RunRank, ServerLoad},
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

/// A caller's request, forwarded to the node that the selected backend server is local to.
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
    /// Rate limit of that server, as known to the entry node.
    pub limit: StatedLimit,
    /// Idempotency key sent by the caller, if any.
    pub key: Option<IdempotencyKey>,
    /// Hash of the route, method, target and body.
    pub fingerprint: ContentHash,
    /// Key of the request, which each node checks against the version that it holds.
    pub key_check: CheckedKey,
    /// Client account that the request's key belongs to, if it has one.
    pub account: Option<AccountRank>,
    /// Priority of the matched route.
    pub priority: RequestPriority,
    /// Service beside whose server the request entered the mesh, if the entry node has one.
    pub origin: Option<ServiceName>,
    /// Rank of the run beside the entry node that may have made the request.
    pub run_rank: Option<RunRank>,
    /// Time that the caller has already spent on its own earlier attempts, if it reports this.
    pub waited: TimeBudget,
    /// Whether the host may refuse the request while it waits because the server has slowed down;
    /// true once for each request.
    pub may_hand_on: bool,
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

/// The complete response of a backend server, returned to the entry node.
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
    /// Load of that backend server, as observed by its local node.
    pub load: ServerLoad,
    /// Time from the arrival of the request at the host to its response.
    pub held: TimeBudget,
    /// Rate limit of that backend server, as known to its local node.
    pub limit: StatedLimit,
    /// Incarnation of that backend server, if it states its departure.
    pub departed: Option<BackendIncarnation>,
}
