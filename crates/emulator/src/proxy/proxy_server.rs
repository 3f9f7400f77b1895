use std::net::SocketAddr;

use actix_web::{
    App, HttpServer,
    web::{self, ServiceConfig},
};
use bronzelb_kernel::error::MeshError;
use serde::{Deserialize, Serialize};

use crate::{
    proxy::{control_handler, proxy_state::ProxyState},
    server::{ShutdownSignals, first_address, local_error, print_listening},
};

const SHUTDOWN_TIMEOUT_SECS: u64 = 1;

/// Address that the proxy prints once it accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyAddresses {
    /// Address of the control listener, which manages listeners, rules and counters.
    pub control: SocketAddr,
}

/// Runs the proxy until a termination signal.
///
/// # Errors
///
/// `LocalIo` when the control address cannot be bound.
pub fn serve(control: SocketAddr) -> Result<(), MeshError> {
    actix_web::rt::System::new().block_on(serve_control(control))
}

async fn serve_control(control: SocketAddr) -> Result<(), MeshError> {
    let state = web::Data::new(ProxyState::new());
    let control_server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .configure(configure_control)
    })
    .workers(1)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
    .disable_signals()
    .bind(control)
    .map_err(|error| local_error(&format!("listen on {control}"), &error))?;
    let signals = ShutdownSignals::register()?;
    print_listening(&ProxyAddresses {
        control: first_address(&control_server.addrs())?,
    })?;
    signals.run_servers(vec![control_server.run()]).await
}

fn configure_control(config: &mut ServiceConfig) {
    config
        .route("/listeners", web::post().to(control_handler::post_listener))
        .route("/targets", web::put().to(control_handler::put_target))
        .route("/rules", web::put().to(control_handler::put_rules))
        .route("/rules", web::get().to(control_handler::get_rules))
        .route("/counters", web::get().to(control_handler::get_counters));
}
