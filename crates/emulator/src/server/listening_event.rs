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

/// Prints the line by which a process tells its starter that it is ready.
///
/// # Errors
///
/// `LocalIo` when standard output is closed.
pub fn print_listening(addresses: &impl Serialize) -> Result<(), MeshError> {
    let event = ListeningEvent {
        event: "listening",
        addresses,
    };
    let line = serde_json::to_string(&event)
        .map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("listening line: {error}")))?;
    let mut output = stdout().lock();
    writeln!(output, "{line}").map_err(|error| local_error("standard output", &error))?;
    output
        .flush()
        .map_err(|error| local_error("standard output", &error))
}

/// Builds the error for a failed operation on `what` of the local machine.
#[must_use]
pub fn local_error(what: &str, error: &std::io::Error) -> MeshError {
    MeshError::new(ErrorKind::LocalIo, format!("{what}: {error}"))
}

/// Returns the address that a listener was bound to.
///
/// # Errors
///
/// `LocalIo` when there is none.
pub fn first_address(addresses: &[SocketAddr]) -> Result<SocketAddr, MeshError> {
    addresses
        .first()
        .copied()
        .ok_or_else(|| MeshError::new(ErrorKind::LocalIo, "listener has no address"))
}
