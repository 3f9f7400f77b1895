use std::{
    io::{Write, stdout},
    net::SocketAddr,
};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use serde::Serialize;

#[derive(Serialize)]
struct ListeningEvent<'a, T> {
    event: &'static str,
    #[serde(flatten)]
    addresses: &'a T,
}

/// Prints the `listening` event, which signals the parent process that the listeners are ready.
///
/// # Errors
///
/// `LocalIo` when writing to standard output fails.
pub fn print_listening(addresses: &impl Serialize) -> Result<(), MeshError> {
    let event = ListeningEvent {
        event: "listening",
        addresses,
    };
    let line = serde_json::to_string(&event).map_err(|error| {
        MeshError::new(
            ErrorKind::LocalIo,
            format!("encode listening event: {error}"),
        )
    })?;
    let mut output = stdout().lock();
    writeln!(output, "{line}").map_err(|error| local_error("standard output", &error))?;
    output
        .flush()
        .map_err(|error| local_error("standard output", &error))
}

/// Creates a `LocalIo` error for a failed local operation; `context` names the operation or its
/// object.
#[must_use]
pub fn local_error(context: &str, error: &std::io::Error) -> MeshError {
    MeshError::new(ErrorKind::LocalIo, format!("{context}: {error}"))
}

/// Returns the first address that a server is bound to.
///
/// # Errors
///
/// `LocalIo` when `addresses` is empty.
pub fn first_address(addresses: &[SocketAddr]) -> Result<SocketAddr, MeshError> {
    addresses
        .first()
        .copied()
        .ok_or_else(|| MeshError::new(ErrorKind::LocalIo, "listener has no address"))
}
