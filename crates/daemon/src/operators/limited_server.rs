use std::{fmt, net::TcpListener, sync::Arc, time::Duration};

use actix_http::{HttpService, Request, Response};
use actix_server::Server;
use actix_service::{IntoServiceFactory, ServiceFactory, ServiceFactoryExt, map_config};
use actix_web::{Error, body::MessageBody, dev::AppConfig};
use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    holding::ConnectionKind,
};

use crate::{holding::limit_connections, node::NodeState};

/// Time limit for receiving the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an HTTP server whose connections close for new ones beyond their limit.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if a socket is not usable.
pub(super) fn start_limited_server<F, I, S, B>(
    state: &NodeState,
    kind: ConnectionKind,
    listeners: Vec<TcpListener>,
    idle_timeout: Duration,
    factory: F,
) -> Result<Server, MeshError>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Error: Into<Error> + 'static,
    S::Response: Into<Response<B>>,
    S::InitError: fmt::Debug,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    let mut server = Server::build().workers(1).disable_signals();
    for listener in listeners {
        let (factory, holding) = (factory.clone(), Arc::clone(&state.holding));
        let listened = server.listen(kind.name(), listener, move || {
            let app = factory().into_factory();
            let app = app.map_err(|error| error.into().error_response());
            let app = map_config(app, |()| AppConfig::default());
            let service = HttpService::build()
                .keep_alive(idle_timeout)
                .client_request_timeout(HEADER_TIMEOUT)
                .h1(app)
                .tcp();
            limit_connections(Arc::clone(&holding), kind, service)
        });
        server = listened.map_err(|error| {
            MeshError::new(ErrorKind::LocalIo, format!("{kind} listener: {error}"))
        })?;
    }
    Ok(server.run())
}
