use std::{net::SocketAddr, time::Duration};

use actix_web::{
    App, HttpServer,
    web::{self, ServiceConfig},
};
use awc::Client;
use bronzelb_http::strict_connector;
use bronzelb_kernel::{clock::TimeBudget, error::MeshError, member::BackendState};
use serde::{Deserialize, Serialize};

use crate::{
    backend::{
        BackendSettings, announce_task, control_handler,
        emulated_backend::{BackendHandle, EmulatedBackend},
        report_handler, request_handler,
    },
    server::{
        ConnectionHandle, ShutdownSignals, first_address, local_error, print_listening, wall_clock,
    },
};

const KEEP_ALIVE: Duration = Duration::from_secs(75);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Addresses that the stand-in prints once it accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAddresses {
    /// Address of the listener for requests and reports.
    pub address: SocketAddr,
    /// Address of the control listener, which sets faults and returns the tally.
    pub control: SocketAddr,
}

/// Runs the stand-in until SIGTERM or SIGINT; it then drains and deregisters from its node.
///
/// # Errors
///
/// `LocalIo` when an address cannot be bound or the journal cannot be opened.
pub fn serve(settings: BackendSettings) -> Result<(), MeshError> {
    let backend = EmulatedBackend::new(settings)?;
    actix_web::rt::System::new().block_on(serve_backend(backend))
}

async fn serve_backend(backend: BackendHandle) -> Result<(), MeshError> {
    let listen = backend.settings.listen;
    let request_data = web::Data::new(backend.clone());
    let request_server = HttpServer::new(move || {
        App::new()
            .app_data(request_data.clone())
            .app_data(web::Data::new(chain_client()))
            .configure(configure_requests)
    })
    .on_connect(ConnectionHandle::store)
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .bind(listen)
    .map_err(|error| local_error(&format!("listen on {listen}"), &error))?;
    let control = backend.settings.control;
    let control_data = web::Data::new(backend.clone());
    let control_server = HttpServer::new(move || {
        App::new()
            .app_data(control_data.clone())
            .configure(configure_control)
    })
    .workers(1)
    .disable_signals()
    .bind(control)
    .map_err(|error| local_error(&format!("listen on {control}"), &error))?;
    let addresses = BackendAddresses {
        address: first_address(&request_server.addrs())?,
        control: first_address(&control_server.addrs())?,
    };
    let request_server = request_server.run();
    let request_server_handle = request_server.handle();
    actix_web::rt::spawn(request_server);
    actix_web::rt::spawn(control_server.run());
    let mut signals = ShutdownSignals::register()?;
    print_listening(&addresses)?;
    let announce_task =
        actix_web::rt::spawn(announce_task::run(backend.clone(), addresses.address));
    actix_web::rt::spawn(begin_serving(backend.clone()));
    signals.recv().await;
    drain(&backend, addresses.address).await;
    announce_task.abort();
    announce_task::deregister(&backend).await;
    // The node may have sent further requests before it processed the deregistration.
    wait_until_idle(&backend).await;
    request_server_handle.stop(true).await;
    Ok(())
}

fn chain_client() -> Client {
    Client::builder()
        .connector(strict_connector())
        .disable_timeout()
        .finish()
}

fn configure_requests(config: &mut ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/report", web::get().to(report_handler::get_json))
        .route("/status.txt", web::get().to(report_handler::get_plain))
        .default_service(web::to(request_handler::handle));
}

fn configure_control(config: &mut ServiceConfig) {
    config
        .route("/faults", web::put().to(control_handler::put_faults))
        .route("/faults", web::get().to(control_handler::get_faults))
        .route("/node", web::put().to(control_handler::put_node))
        .route("/tally", web::get().to(control_handler::get_tally))
        .route("/totals", web::get().to(control_handler::get_totals));
}

/// Sets the state to serving after the configured start time.
async fn begin_serving(backend: BackendHandle) {
    tokio::time::sleep(backend.settings.start_time.to_std()).await;
    let mut state = backend.lock();
    if state.lifecycle == BackendState::Starting {
        state.lifecycle = BackendState::Serving;
    }
}

/// Announces the draining state and waits for the requests in flight.
async fn drain(backend: &BackendHandle, address: SocketAddr) {
    backend.lock().lifecycle = BackendState::Draining;
    let client = announce_task::announce_client();
    announce_task::announce(&client, backend, address).await;
    wait_until_idle(backend).await;
}

async fn wait_until_idle(backend: &BackendHandle) {
    let drain_time: TimeBudget = backend.settings.drain_time;
    let deadline = wall_clock().after(drain_time);
    while backend.lock().in_flight > 0 && !deadline.has_passed(wall_clock()) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
