use std::{net::TcpListener, sync::Arc};

use actix_web::{App, HttpServer, dev::Server, web};
use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::{node::NodeState, operators::status_endpoints};

/// Path of the metrics on the dedicated listener.
const METRICS_PATH: &str = "/metrics";
/// Connection limit; a monitoring system uses one or two connections.
const MAX_CONNECTIONS: usize = 16;

/// Starts the HTTP server for metrics.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if the socket is not usable.
pub fn start_metric_server(
    state: Arc<NodeState>,
    listener: TcpListener,
) -> Result<Server, MeshError> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&state)))
            .route(METRICS_PATH, web::get().to(status_endpoints::metrics))
    })
    .workers(1)
    .max_connections(MAX_CONNECTIONS)
    .disable_signals()
    .listen(listener)
    .map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("metrics listener: {error}")))?;
    Ok(server.run())
}
