use std::{net::SocketAddr, time::Duration};

use actix_web::{
    App, HttpServer,
    web::{self, ServiceConfig},
};
use awc::Client;
use bronzelb_kernel::{clock::TimeBudget, error::MeshError, member::BackendState};
use serde::{Deserialize, Serialize};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    backend::{
        BackendSettings, announce_task,
        backend_state::{BackendCore, CoreHandle},
        control_handler, report_handler, work_handler,
    },
    server::{ConnectionHandle, first_address, local_error, print_listening, wall_clock},
};

const KEEP_ALIVE: Duration = Duration::from_secs(75);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses that the stand-in prints when it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAddresses {
    /// Address of the requests and reports.
    pub address: SocketAddr,
    /// Address of the faults and the tally.
    pub control: SocketAddr,
}

/// Serves the stand-in until a termination signal; it then drains, leaves its node and returns.
///
/// # Errors
///
/// `LocalIo` when an address cannot be bound or the journal cannot be written.
pub fn serve(settings: BackendSettings) -> Result<(), MeshError> {
    let core = BackendCore::new(settings)?;
    actix_web::rt::System::new().block_on(serve_core(core))
}

async fn serve_core(core: CoreHandle) -> Result<(), MeshError> {
    let listen = core.settings.listen;
    let main_core = web::Data::new(core.clone());
    let main = HttpServer::new(move || {
        App::new()
            .app_data(main_core.clone())
            .app_data(web::Data::new(chain_client()))
            .configure(configure_main)
    })
    .on_connect(ConnectionHandle::store)
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .bind(listen)
    .map_err(|error| local_error(&format!("listen on {listen}"), &error))?;
    let control = core.settings.control;
    let control_core = web::Data::new(core.clone());
    let controls = HttpServer::new(move || {
        App::new()
            .app_data(control_core.clone())
            .configure(configure_control)
    })
    .workers(1)
    .disable_signals()
    .bind(control)
    .map_err(|error| local_error(&format!("listen on {control}"), &error))?;
    let addresses = BackendAddresses {
        address: first_address(&main.addrs())?,
        control: first_address(&controls.addrs())?,
    };
    let main_server = main.run();
    let main_handle = main_server.handle();
    actix_web::rt::spawn(main_server);
    actix_web::rt::spawn(controls.run());
    print_listening(&addresses)?;
    let announcer = actix_web::rt::spawn(announce_task::run(core.clone(), addresses.address));
    actix_web::rt::spawn(start(core.clone()));
    wait_for_signal().await?;
    drain(&core, addresses.address).await;
    announcer.abort();
    announce_task::leave(&core).await;
    wait_until_idle(&core).await;
    main_handle.stop(true).await;
    Ok(())
}

fn chain_client() -> Client {
    Client::builder().disable_timeout().finish()
}

fn configure_main(config: &mut ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/report", web::get().to(report_handler::get_json))
        .route("/status.txt", web::get().to(report_handler::get_plain))
        .default_service(web::to(work_handler::handle));
}

fn configure_control(config: &mut ServiceConfig) {
    config
        .route("/faults", web::put().to(control_handler::put_faults))
        .route("/faults", web::get().to(control_handler::get_faults))
        .route("/node", web::put().to(control_handler::put_node))
        .route("/tally", web::get().to(control_handler::get_tally))
        .route("/totals", web::get().to(control_handler::get_totals));
}

async fn start(core: CoreHandle) {
    tokio::time::sleep(core.settings.start_time.to_std()).await;
    let mut parts = core.lock();
    if parts.state == BackendState::Starting {
        parts.state = BackendState::Serving;
    }
}

async fn wait_for_signal() -> Result<(), MeshError> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|error| local_error("SIGTERM", &error))?;
    let mut interrupt =
        signal(SignalKind::interrupt()).map_err(|error| local_error("SIGINT", &error))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Announces that the server is draining and waits for its requests in flight.
async fn drain(core: &CoreHandle, address: SocketAddr) {
    core.lock().state = BackendState::Draining;
    let client = Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    announce_task::announce(&client, core, address).await;
    wait_until_idle(core).await;
}

async fn wait_until_idle(core: &CoreHandle) {
    let drain_time: TimeBudget = core.settings.drain_time;
    let deadline = wall_clock().after(drain_time);
    while core.lock().in_flight > 0 && !deadline.has_passed(wall_clock()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
