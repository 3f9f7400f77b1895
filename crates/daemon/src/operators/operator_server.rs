use std::{net::TcpListener, sync::Arc};

use actix_web::{App, HttpServer, dev::Server, middleware::from_fn, web};
use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::{
    node::NodeState,
    operators::{backend_routes, operator_guard::check_operator, status_routes},
    rollout,
};

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Starts the listener for operators.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] when the socket is not usable.
pub fn start_operator_server(
    state: Arc<NodeState>,
    listener: TcpListener,
) -> Result<Server, MeshError> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&state)))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .wrap(from_fn(check_operator))
            .configure(status_routes::configure)
            .configure(backend_routes::configure)
            .configure(rollout::configure)
    })
    .workers(1)
    .disable_signals()
    .listen(listener)
    .map_err(|error| MeshError::new(ErrorKind::LocalIo, format!("operators' listener: {error}")))?;
    Ok(server.run())
}
