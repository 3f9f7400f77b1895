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

const CENTRES: u8 = 3;
const LIMIT: TimeBudget = TimeBudget::from_secs(30);
const LOAD_TIME: TimeBudget = TimeBudget::from_secs(3);
const LOAD_RATE: f64 = 100.0;
const LOAD_SEED: u64 = 1;
const LOAD_DEADLINE_MS: u64 = 5_000;

/// Runs the trial and prints its account.
///
/// # Errors
///
/// The first step that did not come out as it must.
pub fn run_trial() -> Result<(), MeshError> {
    actix_web::rt::System::new().block_on(run_steps())
}

async fn run_steps() -> Result<(), MeshError> {
    let mut account = TrialReporter::new();
    let mut mesh = start(&mut account).await?;
    publish_first(&mut account, &mut mesh).await?;
    send_requests(&mut account, &mesh).await?;
    change_route(&mut account, &mut mesh).await?;
    separate_centre(&mut account, &mut mesh).await?;
    trial_moves::run(&mut account, &mut mesh).await?;
    account.begin("Ending every process");
    drop(mesh);
    account.note_timed("All ended");
    println!("The trial is complete.");
    Ok(())
}

async fn start(account: &mut TrialReporter) -> Result<LocalMesh, MeshError> {
    account.begin(
        "Starting a platform stand-in, a fault proxy, three nodes in three data centres, and a \
         backend server of each service beside every node",
    );
    let mesh = LocalMesh::builder()
        .data_centres(CENTRES)
        .backend(BackendSpec::new("tracker", "v1"))
        .backend(BackendSpec::new("dispatcher", "v1"))
        .start()
        .await?;
    account.note_timed("All listen");
    Ok(mesh)
}

/// Returns the answers of the trial, with the positions served under `positions_path`.
pub(crate) fn answers(positions_path: &str) -> MeshAnswers {
    let positions = RouteAnswers::new(positions_path, "tracker")
        .with_priority(RequestPriority::URGENT)
        .with_methods([HttpMethod::Get]);
    let dispatches = RouteAnswers::new("/dispatches", "dispatcher")
        .with_priority(RequestPriority::URGENT)
        .with_methods([HttpMethod::Post])
        .at_most_once()
        .with_timeout("5s");
    MeshAnswers::new(CENTRES)
        .service("tracker")
        .service("dispatcher")
        .route("positions", positions)
        .route("dispatches", dispatches)
}

async fn publish_first(account: &mut TrialReporter, mesh: &mut LocalMesh) -> Result<(), MeshError> {
    account.begin("Publishing answers with \"bronzelb publish\"");
    let output = mesh.publish(&answers("/positions").to_string()).await?;
    account.note(&output.text);
    mesh.wait_version(1, LIMIT).await?;
    account.note_timed("Version 1 is in force on every node");
    mesh.wait_backends("tracker", usize::from(CENTRES), LIMIT)
        .await?;
    mesh.wait_backends("dispatcher", usize::from(CENTRES), LIMIT)
        .await?;
    account.note_timed("Every backend server is known to every node");
    Ok(())
}

async fn send_requests(account: &mut TrialReporter, mesh: &LocalMesh) -> Result<(), MeshError> {
    account.begin("Sending reads and dispatches, each to a node chosen at random");
    let report = send_load(mesh, LOAD_SEED).await?;
    account.note(&report.to_string());
    expect_all_done(&report)?;
    let runs = mesh.runs()?;
    let dispatched = report.route("/dispatches").map_or(0, |route| route.sent);
    let run = runs.iter().filter(|entry| entry.method == "POST").count() as u64;
    account.note(&format!(
        "{dispatched} dispatches were sent, and the backend servers ran {run}"
    ));
    expect(run == dispatched, "each dispatch runs exactly once")
}

async fn change_route(account: &mut TrialReporter, mesh: &mut LocalMesh) -> Result<(), MeshError> {
    account.begin("Publishing a change: the route of the positions moves to another path");
    let output = mesh.publish(&answers("/landings").to_string()).await?;
    account.note(&output.text);
    mesh.wait_version(2, LIMIT).await?;
    account.note_timed("Version 2 is in force on every node");
    for node in mesh.node_names() {
        let new = mesh.call(&node, &CallRequest::get("/landings/b7")).await?;
        let old = mesh.call(&node, &CallRequest::get("/positions/b7")).await?;
        account.note(&format!(
            "{node}: the new path answers {}, the old one {} ({})",
            new.status,
            old.status,
            old.run_state()
        ));
        expect(new.status == 200, "the new path is served")?;
        expect(old.status == 404, "the old path is gone")?;
    }
    let output = mesh.publish(&answers("/positions").to_string()).await?;
    account.note(&output.text);
    mesh.wait_version(3, LIMIT).await?;
    account.note_timed("Changed back, and version 3 is in force on every node");
    Ok(())
}

async fn separate_centre(
    account: &mut TrialReporter,
    mesh: &mut LocalMesh,
) -> Result<(), MeshError> {
    account.begin("Cutting data centre dc3 off from the others and from the platform");
    mesh.partition(1, 3, ProxyAction::Cut).await?;
    mesh.partition(2, 3, ProxyAction::Cut).await?;
    mesh.partition_platform(3, ProxyAction::Cut).await?;
    let answer = mesh
        .call("dc3-n1", &CallRequest::get("/positions/b7"))
        .await?;
    account.note(&format!(
        "dc3-n1, which now has only its own backend servers, answers {}",
        answer.status
    ));
    expect(
        answer.status == 200,
        "a data centre that is cut off serves what it can",
    )?;
    mesh.heal().await?;
    mesh.wait_backends("tracker", usize::from(CENTRES), LIMIT)
        .await?;
    account.note("Healed; every node knows every backend server");
    Ok(())
}

/// Sends the trial's load to all nodes; another seed gives other idempotency keys.
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
        .with_rate(LOAD_RATE)
        .with_duration(LOAD_TIME)
        .with_route(reads.with_deadline_ms(LOAD_DEADLINE_MS))
        .with_route(dispatches.with_deadline_ms(LOAD_DEADLINE_MS));
    run_load(&plan).await
}

fn expect_all_done(report: &LoadReport) -> Result<(), MeshError> {
    let done = report.total.count(CallOutcome::Done);
    expect(
        done == report.total.sent,
        "every request gets its own whole answer",
    )
}

/// Fails the trial with what must hold when it does not.
pub(crate) fn expect(holds: bool, what: &str) -> Result<(), MeshError> {
    if holds {
        return Ok(());
    }
    Err(MeshError::new(
        ErrorKind::LocalIo,
        format!("this must hold and did not: {what}"),
    ))
}
