use std::{net::TcpListener, sync::Arc, time::Duration};

use actix_server::Server;
use actix_web::{
    App,
    error::{InternalError, JsonPayloadError},
    middleware::from_fn,
    web,
};
use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    holding::ConnectionKind,
};

use crate::{
    callers::error_response,
    node::NodeState,
    operators::{
        backend_endpoints, limited_server::start_limited_server,
        operator_guard::authorize_operator, request_timeout::enforce_request_timeout,
        status_endpoints,
    },
    rollout,
};

const MAX_BODY_BYTES: usize = 64 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts the HTTP server for operators.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if the socket is not usable.
pub fn start_operator_server(
    state: Arc<NodeState>,
    listener: TcpListener,
) -> Result<Server, MeshError> {
    let shared = Arc::clone(&state);
    let app = move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&shared)))
            .app_data(json_config())
            .wrap(from_fn(enforce_request_timeout))
            .wrap(from_fn(authorize_operator))
            .configure(status_endpoints::configure)
            .configure(backend_endpoints::configure)
            .configure(rollout::configure_moves)
            .configure(rollout::configure_burn)
    };
    start_limited_server(
        &state,
        ConnectionKind::Operator,
        vec![listener],
        IDLE_TIMEOUT,
        app,
    )
}

/// Limits the size of JSON bodies and responds to malformed ones in the usual error format.
fn json_config() -> web::JsonConfig {
    web::JsonConfig::default()
        .limit(MAX_BODY_BYTES)
        .error_handler(|error, _request| {
            let kind = match error {
                JsonPayloadError::Overflow { .. }
                | JsonPayloadError::OverflowKnownLength { .. } => ErrorKind::TooLarge,
                _ => ErrorKind::Invalid,
            };
            let response = error_response(&MeshError::new(kind, error.to_string()), None);
            InternalError::from_response(error, response).into()
        })
}
