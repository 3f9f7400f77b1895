use std::{net::TcpListener, sync::Arc};

use actix_http::ServiceConfig;
use actix_server::Server;
use actix_service::fn_service;
use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    holding::ConnectionKind,
};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::{
    callers::caller_connection::{SOCKET_BUFFER_BYTES, serve_connection},
    forward::RequestForwarder,
    node::{NodeState, StopSignal},
};

const SHUTDOWN_TIMEOUT_SECS: u64 = 30;
/// Connections that wait until others have closed for them, in addition to those that are open.
const MAX_CLOSING_CONNECTIONS: usize = 65_536;

/// Starts the listener for callers. After the stop signal it closes idle connections.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if the socket is not usable.
pub fn start_caller_server(
    state: Arc<NodeState>,
    listener: TcpListener,
    stop: StopSignal,
) -> Result<Server, MeshError> {
    limit_socket_buffers(&listener)?;
    let workers = state.settings.workers;
    let server = Server::build()
        .workers(workers)
        .max_concurrent_connections(MAX_CLOSING_CONNECTIONS)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
        .disable_signals()
        .listen("callers", listener, move || {
            let forwarder = RequestForwarder::new(Arc::clone(&state));
            let config = ServiceConfig::default();
            let stop = stop.clone();
            fn_service(move |stream: TcpStream| {
                let (forwarder, config) = (forwarder.clone(), config.clone());
                let stop = stop.clone();
                async move {
                    let holding = &forwarder.state().holding;
                    if let Some(hold) = holding.add_connection(ConnectionKind::Caller) {
                        serve_connection(forwarder, stream, config, stop, hold).await;
                    }
                    Ok::<_, MeshError>(())
                }
            })
        })
        .map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("caller listener: {error}")))?;
    Ok(server.run())
}

/// Limits the system's buffers of the connections that the listener will accept.
fn limit_socket_buffers(listener: &TcpListener) -> Result<(), MeshError> {
    let socket = SockRef::from(listener);
    let limited = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    limited.map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("caller listener: {error}")))
}
