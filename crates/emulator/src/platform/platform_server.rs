use std::{net::SocketAddr, time::Duration};

use actix_web::{
    App, HttpServer,
    web::{self, ServiceConfig},
};
use bronzelb_kernel::error::MeshError;
use serde::{Deserialize, Serialize};

use crate::{
    platform::{control_handler, object_handler, platform_state::StateHandle, table_handler},
    server::{ConnectionHandle, ShutdownSignals, first_address, local_error, print_listening},
};

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const KEEP_ALIVE: Duration = Duration::from_secs(75);
const SHUTDOWN_TIMEOUT_SECS: u64 = 1;

/// Addresses that the stand-in prints once it accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// Address of the listener for the table service and the object store.
    pub address: SocketAddr,
    /// Address of the control listener, which sets faults and returns counters.
    pub control: SocketAddr,
}

/// Runs the stand-in until a termination signal.
///
/// # Errors
///
/// `LocalIo` when an address cannot be bound.
pub fn serve(address: SocketAddr, control: SocketAddr) -> Result<(), MeshError> {
    let state = StateHandle::new();
    actix_web::rt::System::new().block_on(serve_platform(state, address, control))
}

async fn serve_platform(
    state: StateHandle,
    address: SocketAddr,
    control: SocketAddr,
) -> Result<(), MeshError> {
    let connect_state = state.clone();
    let platform_data = web::Data::new(state.clone());
    let platform_server = HttpServer::new(move || {
        App::new()
            .app_data(platform_data.clone())
            .configure(configure_platform)
    })
    .on_connect(move |connection, extensions| {
        ConnectionHandle::store(connection, extensions);
        if connect_state.lock().faults.away
            && let Some(handle) = extensions.get::<ConnectionHandle>()
        {
            handle.close();
        }
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
    .disable_signals()
    .bind(address)
    .map_err(|error| local_error(&format!("listen on {address}"), &error))?;
    let control_data = web::Data::new(state);
    let control_server = HttpServer::new(move || {
        App::new()
            .app_data(control_data.clone())
            .configure(configure_control)
    })
    .workers(1)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
    .disable_signals()
    .bind(control)
    .map_err(|error| local_error(&format!("listen on {control}"), &error))?;
    let signals = ShutdownSignals::register()?;
    print_listening(&PlatformAddresses {
        address: first_address(&platform_server.addrs())?,
        control: first_address(&control_server.addrs())?,
    })?;
    let servers = vec![platform_server.run(), control_server.run()];
    signals.run_servers(servers).await
}

fn configure_platform(config: &mut ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/table/rows/{key}", web::get().to(table_handler::get_row))
        .route("/table/scan", web::get().to(table_handler::scan))
        .route("/table/transact", web::post().to(table_handler::transact))
        .route("/objects/{name}", web::put().to(object_handler::put_object))
        .route("/objects/{name}", web::get().to(object_handler::get_object));
}

fn configure_control(config: &mut ServiceConfig) {
    config
        .route("/faults", web::put().to(control_handler::put_faults))
        .route("/faults", web::get().to(control_handler::get_faults))
        .route("/counters", web::get().to(control_handler::get_counters))
        .route(
            "/counters",
            web::delete().to(control_handler::delete_counters),
        );
}
