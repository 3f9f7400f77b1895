use compact_str::CompactString;

use crate::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    member::{BackendMessage, StatedCold, StatedLimit},
};

/// Wire conventions between a node and callers, backend servers and the VM's supervisor.
///
/// A dialect holds names and formats but no decisions. It is registered with `inventory::submit!`;
/// the setting `dialect` selects one by name.
#[derive(Clone, Copy, Debug)]
pub struct WireDialect {
    /// Name that the setting `dialect` selects.
    pub name: &'static str,
    /// Conventions for callers.
    pub callers: CallerDialect,
    /// Conventions for backend servers.
    pub servers: ServerDialect,
    /// Requests that the VM's local listener accepts besides the operators' interface.
    pub local: Option<LocalDialect>,
}

/// Headers and responses between callers and a node. Header names are in lower case.
#[derive(Clone, Copy, Debug)]
pub struct CallerDialect {
    /// Header with the request's identifier; the node generates one if the header is missing.
    pub request_header: &'static str,
    /// Header with the time for which the caller waits, in milliseconds.
    pub deadline_header: &'static str,
    /// Header with the caller's idempotency key.
    pub idempotency_key_header: Option<&'static str>,
    /// Header with the key of the caller's client account; without one, no caller has a key.
    pub account_key: Option<AccountKeyHeader>,
    /// Header with the attempt number of the upstream request that this request belongs to.
    pub attempt_header: Option<&'static str>,
    /// Whether the caller's request identifier is used; otherwise the node generates one.
    pub accepts_request_id: bool,
    /// Whether the caller's `host` header is forwarded unchanged to the backend server.
    pub preserves_host: bool,
    /// Whether responses carry the mesh's own headers and describe errors in their body.
    pub adds_response_details: bool,
    /// Status of an error response that the node generates.
    pub status: fn(ErrorKind) -> u16,
    /// Formats the value of `retry-after` for the time until the caller may retry.
    pub retry_after: fn(TimeBudget) -> CompactString,
}

/// Header in which a caller presents the key of its client account, as `SCHEME KEY`.
#[derive(Clone, Copy, Debug)]
pub struct AccountKeyHeader {
    /// Name in lower case.
    pub name: &'static str,
    /// Authentication scheme in front of the key; its case does not matter (RFC 9110, section
    /// 11.1).
    pub scheme: &'static str,
}

/// Headers and responses between a node and its local backend servers. Header names are in lower
/// case.
#[derive(Clone, Copy, Debug)]
pub struct ServerDialect {
    /// Header with the request's identifier, which the server echoes.
    pub request_header: &'static str,
    /// Header with the time until the deadline, in milliseconds.
    pub deadline_header: &'static str,
    /// Header with the attempt number.
    pub attempt_header: Option<&'static str>,
    /// Header with the name of the intended server; any other server refuses the request.
    pub expected_server_header: Option<&'static str>,
    /// Header with the name of the client account that the request belongs to.
    pub account_header: Option<&'static str>,
    /// Header with the name of the calling service, as set in the entry node's settings.
    pub origin_header: Option<&'static str>,
    /// Whether a response without a length is complete when its connection closes cleanly.
    pub accepts_unframed: bool,
    /// Returns whether a response's status and headers state that the request did not run.
    pub is_not_run: fn(u16, &ResponseHeaders<'_>) -> bool,
    /// Reads what a response states about its server from the status and headers.
    pub read_notice: fn(u16, &ResponseHeaders<'_>) -> ServerNotice,
}

/// What a response states about the server that sent it, besides its answer to the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Rate limit for the requests of all nodes together.
    pub limit: StatedLimit,
    /// Whether the server is about to shut down.
    pub is_leaving: bool,
    /// Remaining time for which the server is cold.
    pub cold_left: StatedCold,
}

/// Looks up a response header by its name in lower case.
pub type ResponseHeaders<'a> = dyn Fn(&str) -> Option<&'a [u8]> + 'a;

/// Requests that backend servers and the VM's supervisor send to their local node.
#[derive(Clone, Copy, Debug)]
pub struct LocalDialect {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Decodes a backend server's announcement.
    pub decode_announcement: fn(&LocalRequest<'_>) -> Result<BackendMessage, MeshError>,
}

/// A request received on the VM's local listener.
#[derive(Clone, Copy, Debug)]
pub struct LocalRequest<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query without the question mark.
    pub query: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

inventory::collect!(WireDialect);

impl WireDialect {
    /// Returns the dialect that is registered under `name`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] when no dialect has that name.
    pub fn find(name: &str) -> Result<&'static Self, MeshError> {
        Self::all()
            .find(|dialect| dialect.name == name)
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::NotFound,
                    format!("dialect {name:?} does not exist"),
                )
            })
    }

    /// Returns every registered dialect.
    pub fn all() -> impl Iterator<Item = &'static Self> {
        inventory::iter::<Self>.into_iter()
    }
}
