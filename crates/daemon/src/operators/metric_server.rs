use std::{net::TcpListener, sync::Arc, time::Duration};

use actix_server::Server;
use actix_web::{App, web};
use bronzelb_kernel::{error::MeshError, holding::ConnectionKind};

use crate::{
    node::NodeState,
    operators::{limited_server::start_limited_server, status_endpoints},
};

/// Path of the metrics on the dedicated listener.
const METRICS_PATH: &str = "/metrics";
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the HTTP server for metrics.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if the socket is not usable.
pub fn start_metric_server(
    state: Arc<NodeState>,
    listener: TcpListener,
) -> Result<Server, MeshError> {
    let shared = Arc::clone(&state);
    let app = move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&shared)))
            .route(METRICS_PATH, web::get().to(status_endpoints::metrics))
    };
    start_limited_server(
        &state,
        ConnectionKind::Metrics,
        vec![listener],
        IDLE_TIMEOUT,
        app,
    )
}
