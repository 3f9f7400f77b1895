use std::{net::TcpListener, sync::Arc};

use actix_http::ServiceConfig;
use actix_server::Server;
use actix_service::fn_service;
use bronzelb_kernel::error::{ErrorKind, MeshError};
use tokio::net::TcpStream;

use crate::{
    callers::caller_connection::serve_connection,
    forward::RequestForwarder,
    node::{NodeState, StopSignal},
};

const SHUTDOWN_TIMEOUT_SECS: u64 = 30;
const MAX_CONNECTIONS: usize = 4_096;

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
    let workers = state.settings.workers;
    let server = Server::build()
        .workers(workers)
        .max_concurrent_connections(MAX_CONNECTIONS)
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
                    serve_connection(forwarder, stream, config, stop).await;
                    Ok::<_, MeshError>(())
                }
            })
        })
        .map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("caller listener: {error}")))?;
    Ok(server.run())
}
