use std::net::SocketAddr;

use bronzelb_kernel::{
    clock::TimeBudget,
    config::{HttpMethod, RequestPriority},
    error::{ErrorKind, MeshError},
};

use crate::{
    http::CallRequest,
    load::{CallOutcome, LoadPlan, LoadReport, LoadRoute, run_load},
    mesh::{BackendSpec, LocalMesh, MeshAnswers, RouteAnswers},
    proxy::ProxyAction,
    trial::{trial_moves, trial_reporter::TrialReporter},
};

const DATA_CENTRE_COUNT: u8 = 3;
const STEP_TIMEOUT: TimeBudget = TimeBudget::from_secs(30);
const LOAD_DURATION: TimeBudget = TimeBudget::from_secs(3);
const LOAD_RATE_PER_S: f64 = 100.0;
const LOAD_SEED: u64 = 1;
const LOAD_DEADLINE_MS: u64 = 5_000;

/// Runs the trial and prints its steps.
///
/// # Errors
///
/// The first failed check or operation.
pub fn run_trial() -> Result<(), MeshError> {
    actix_web::rt::System::new().block_on(run_steps())
}

async fn run_steps() -> Result<(), MeshError> {
    let mut reporter = TrialReporter::new();
    let mut mesh = start(&mut reporter).await?;
    publish_first(&mut reporter, &mut mesh).await?;
    send_requests(&mut reporter, &mesh).await?;
    change_route(&mut reporter, &mut mesh).await?;
    partition_data_centre(&mut reporter, &mut mesh).await?;
    trial_moves::run(&mut reporter, &mut mesh).await?;
    reporter.begin_step("Ending every process");
    drop(mesh);
    reporter.print_elapsed("All processes ended");
    println!("The trial is complete.");
    Ok(())
}

async fn start(reporter: &mut TrialReporter) -> Result<LocalMesh, MeshError> {
    reporter.begin_step(
        "Starting a platform stand-in, a fault proxy, three nodes in three data centres, and a \
         backend server of each service for every node",
    );
    let mesh = LocalMesh::builder()
        .data_centres(DATA_CENTRE_COUNT)
        .backend(BackendSpec::new("tracker", "v1"))
        .backend(BackendSpec::new("dispatcher", "v1"))
        .start()
        .await?;
    reporter.print_elapsed("All are listening");
    Ok(mesh)
}

/// Returns the answers of the trial, with the route of the positions at `positions_path`.
pub(crate) fn answers(positions_path: &str) -> MeshAnswers {
    let positions = RouteAnswers::new(positions_path, "tracker")
        .with_priority(RequestPriority::URGENT)
        .with_methods([HttpMethod::Get]);
    let dispatches = RouteAnswers::new("/dispatches", "dispatcher")
        .with_priority(RequestPriority::URGENT)
        .with_methods([HttpMethod::Post])
        .at_most_once()
        .with_timeout("5s");
    MeshAnswers::new(DATA_CENTRE_COUNT)
        .service("tracker")
        .service("dispatcher")
        .route("positions", positions)
        .route("dispatches", dispatches)
}

async fn publish_first(
    reporter: &mut TrialReporter,
    mesh: &mut LocalMesh,
) -> Result<(), MeshError> {
    reporter.begin_step("Publishing answers with \"bronzelb publish\"");
    let output = mesh.publish(&answers("/positions").to_string()).await?;
    reporter.print(&output.text);
    mesh.wait_version(1, STEP_TIMEOUT).await?;
    reporter.print_elapsed("Version 1 is applied on every node");
    mesh.wait_backends("tracker", usize::from(DATA_CENTRE_COUNT), STEP_TIMEOUT)
        .await?;
    mesh.wait_backends("dispatcher", usize::from(DATA_CENTRE_COUNT), STEP_TIMEOUT)
        .await?;
    reporter.print_elapsed("Every backend server is known to every node");
    Ok(())
}

async fn send_requests(reporter: &mut TrialReporter, mesh: &LocalMesh) -> Result<(), MeshError> {
    reporter.begin_step("Sending reads and dispatches, each to a node chosen at random");
    let report = send_load(mesh, LOAD_SEED).await?;
    reporter.print(&report.to_string());
    ensure_all_done(&report)?;
    let runs = mesh.runs()?;
    let dispatched = report.route("/dispatches").map_or(0, |route| route.sent);
    let run_count = runs.iter().filter(|entry| entry.method == "POST").count() as u64;
    reporter.print(&format!(
        "{dispatched} dispatches were sent, and the backend servers ran {run_count}"
    ));
    ensure(run_count == dispatched, "each dispatch runs exactly once")
}

async fn change_route(reporter: &mut TrialReporter, mesh: &mut LocalMesh) -> Result<(), MeshError> {
    reporter.begin_step("Publishing a change: the route of the positions moves to another path");
    let output = mesh.publish(&answers("/landings").to_string()).await?;
    reporter.print(&output.text);
    mesh.wait_version(2, STEP_TIMEOUT).await?;
    reporter.print_elapsed("Version 2 is applied on every node");
    for node in mesh.node_names() {
        let new = mesh.call(&node, &CallRequest::get("/landings/b7")).await?;
        let old = mesh.call(&node, &CallRequest::get("/positions/b7")).await?;
        reporter.print(&format!(
            "{node}: the new path responds with {}, the old one with {} ({})",
            new.status,
            old.status,
            old.run_state()
        ));
        ensure(new.status == 200, "the new path is served")?;
        ensure(old.status == 404, "the old path is gone")?;
    }
    let output = mesh.publish(&answers("/positions").to_string()).await?;
    reporter.print(&output.text);
    mesh.wait_version(3, STEP_TIMEOUT).await?;
    reporter.print_elapsed("Changed back, and version 3 is applied on every node");
    Ok(())
}

async fn partition_data_centre(
    reporter: &mut TrialReporter,
    mesh: &mut LocalMesh,
) -> Result<(), MeshError> {
    reporter.begin_step("Partitioning data centre dc3 from the others and from the platform");
    mesh.partition(1, 3, ProxyAction::Cut).await?;
    mesh.partition(2, 3, ProxyAction::Cut).await?;
    mesh.partition_platform(3, ProxyAction::Cut).await?;
    let answer = mesh
        .call("dc3-n1", &CallRequest::get("/positions/b7"))
        .await?;
    reporter.print(&format!(
        "dc3-n1, which now reaches only its own backend servers, responds with {}",
        answer.status
    ));
    ensure(
        answer.status == 200,
        "an isolated data centre serves requests with its own backend servers",
    )?;
    mesh.heal().await?;
    mesh.wait_backends("tracker", usize::from(DATA_CENTRE_COUNT), STEP_TIMEOUT)
        .await?;
    reporter.print("Partition healed; every node knows every backend server");
    Ok(())
}

/// Sends the trial's load to all nodes. Each seed yields its own idempotency keys, so loads with
/// different seeds do not repeat each other's requests.
pub(crate) async fn send_load(mesh: &LocalMesh, seed: u64) -> Result<LoadReport, MeshError> {
    let nodes = mesh.node_names();
    let targets: Result<Vec<SocketAddr>, MeshError> = nodes
        .iter()
        .map(|name| Ok(mesh.node(name)?.addresses().callers))
        .collect();
    let reads = LoadRoute::get("/positions").with_weight(4);
    let dispatches = LoadRoute::keyed_post("/dispatches");
    let plan = LoadPlan::new(targets?)
        .with_seed(seed)
        .with_rate(LOAD_RATE_PER_S)
        .with_duration(LOAD_DURATION)
        .with_route(reads.with_deadline_ms(LOAD_DEADLINE_MS))
        .with_route(dispatches.with_deadline_ms(LOAD_DEADLINE_MS));
    run_load(&plan).await
}

fn ensure_all_done(report: &LoadReport) -> Result<(), MeshError> {
    let done = report.total.count(CallOutcome::Done);
    ensure(
        done == report.total.sent,
        "every request receives its own complete response",
    )
}

/// Returns an error that describes the violated expectation if `holds` is false.
pub(crate) fn ensure(holds: bool, what: &str) -> Result<(), MeshError> {
    if holds {
        return Ok(());
    }
    Err(MeshError::new(
        ErrorKind::LocalIo,
        format!("check failed: {what}"),
    ))
}
