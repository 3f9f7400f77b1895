use compact_str::CompactString;

use crate::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    member::BackendNews,
};

/// How callers, backend servers and the VM's supervisor speak to a node.
///
/// A dialect holds names and formats and decides nothing. It registers itself with
/// `inventory::submit!`; the setting `dialect` chooses one by name.
#[derive(Clone, Copy, Debug)]
pub struct WireDialect {
    /// Name by which the settings choose the dialect.
    pub name: &'static str,
    /// What callers send and get.
    pub callers: CallerDialect,
    /// What backend servers get and answer.
    pub servers: ServerDialect,
    /// What the VM's own listener takes besides the operators' interface.
    pub local: Option<LocalDialect>,
}

/// Headers and answers between callers and a node. Header names are in lower case.
#[derive(Clone, Copy, Debug)]
pub struct CallerDialect {
    /// Header with a request's identifier; the node draws one where it is missing.
    pub request_header: &'static str,
    /// Header with the time that the caller waits, in milliseconds.
    pub deadline_header: &'static str,
    /// Header with the caller's idempotency key.
    pub idempotency_key_header: Option<&'static str>,
    /// Header with the number of the attempt further up a chain of calls.
    pub attempt_header: Option<&'static str>,
    /// Whether a request's identifier is taken from the caller.
    pub accepts_request_id: bool,
    /// Whether the `host` header reaches the backend server as the caller sent it.
    pub preserves_host: bool,
    /// Whether answers carry the mesh's own headers and describe errors in their body.
    pub adds_response_details: bool,
    /// Status of an answer that the node gives itself.
    pub status: fn(ErrorKind) -> u16,
    /// Value of `retry-after` for the time until the caller may come back.
    pub retry_after: fn(TimeBudget) -> CompactString,
}

/// Headers and answers between a node and the backend servers beside it, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct ServerDialect {
    /// Header with the request's identifier, which the server echoes.
    pub request_header: &'static str,
    /// Header with the time that is left, in milliseconds.
    pub deadline_header: &'static str,
    /// Header with the number of the attempt.
    pub attempt_header: Option<&'static str>,
    /// Header that names the server for which the request is meant; any other server refuses it.
    pub expected_server_header: Option<&'static str>,
    /// Header with the service beside which the request began.
    pub origin_header: Option<&'static str>,
    /// Whether an answer without a length counts as whole when its connection ends in order.
    pub accepts_unframed: bool,
    /// Returns whether an answer, by its status and headers, says that the request did not run.
    pub is_not_run: fn(u16, &ResponseHeaders<'_>) -> bool,
}

/// Looks up a header of an answer by its name in lower case.
pub type ResponseHeaders<'a> = dyn Fn(&str) -> Option<&'a [u8]> + 'a;

/// Calls that backend servers and the VM's supervisor make to the node beside them.
#[derive(Clone, Copy, Debug)]
pub struct LocalDialect {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Decodes an announcement of a backend server.
    pub decode_announcement: fn(&LocalRequest<'_>) -> Result<BackendNews, MeshError>,
}

/// A call that arrived on the VM's own listener.
#[derive(Clone, Copy, Debug)]
pub struct LocalRequest<'a> {
    /// Method in upper case.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query without the question mark.
    pub query: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

inventory::collect!(WireDialect);

impl WireDialect {
    /// Returns the dialect that registered under `name`.
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
