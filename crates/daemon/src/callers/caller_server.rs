use std::{net::TcpListener, sync::Arc, time::Duration};

use actix_web::{App, HttpServer, dev::Server, web};
use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::{
    callers::{
        caller_handler::handle_caller,
        ticket_handler::{TICKET_PATH, issue_ticket},
    },
    forward::RequestForwarder,
    node::NodeState,
};

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
const SHUTDOWN_SECS: u64 = 30;
const MAX_CONNECTIONS: usize = 4_096;

/// Starts the listener for callers.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] when the socket is not usable.
pub fn start_caller_server(
    state: Arc<NodeState>,
    listener: TcpListener,
) -> Result<Server, MeshError> {
    let workers = state.settings.workers;
    let server = HttpServer::new(move || {
        let forwarder = RequestForwarder::new(Arc::clone(&state));
        App::new()
            .app_data(web::Data::new(forwarder))
            .route(TICKET_PATH, web::post().to(issue_ticket))
            .default_service(web::to(handle_caller))
    })
    .workers(workers)
    .max_connections(MAX_CONNECTIONS)
    .client_request_timeout(HEADER_TIMEOUT)
    .keep_alive(IDLE_TIMEOUT)
    // A caller that has gone away gets no answer, so its request ends.
    .h1_allow_half_closed(false)
    .shutdown_timeout(SHUTDOWN_SECS)
    .disable_signals()
    .listen(listener)
    .map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("callers' listener: {error}")))?;
    Ok(server.run())
}
