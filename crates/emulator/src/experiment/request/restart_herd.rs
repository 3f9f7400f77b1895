use std::time::{Duration, Instant};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};

use crate::{
    experiment::{ExperimentContext, ExperimentEntry, ExperimentReport, request::bench_mesh},
    load::{LoadPlan, LoadRoute, run_load},
    mesh::{BackendSpec, LocalMesh, node_name},
};

inventory::submit! {
    ExperimentEntry {
        name: "request-restart-herd",
        about: "Recovery after most nodes are killed and restarted, with load on the others",
        run,
    }
}

const DATA_CENTRES: u8 = 3;
const SLOTS: u32 = 12;
const SERVICE_TIME: &str = "10ms";
const DEFAULT_NODES: u64 = 4;
const DEFAULT_RATE: u64 = 200;
const DEFAULT_SECONDS: u64 = 10;
const DEADLINE_MS: u64 = 500;
const KILL_DELAY: Duration = Duration::from_secs(2);
const RECOVERY_TIMEOUT: TimeBudget = TimeBudget::from_secs(60);
const SURVIVOR_SUFFIX: &str = "-n1";

/// Figures of a simultaneous restart.
struct RestartFigures {
    killed: u64,
    restart_seconds: f64,
    recovery_seconds: f64,
    in_time_share: f64,
    max_reads_per_second: u64,
    objects_read: u64,
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let nodes = context.size("nodes", DEFAULT_NODES);
    let rate = context.size("rate", DEFAULT_RATE);
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let columns = [
        "killed",
        "restarted_s",
        "recovered_s",
        "in_time_share",
        "source_reads_max_per_s",
        "objects_read",
    ];
    let mut report = ExperimentReport::new("request-restart-herd", context.seed(), columns)
        .with_size("data_centres", DATA_CENTRES.into())
        .with_size("nodes_per_data_centre", nodes)
        .with_size("rate", rate)
        .with_size("seconds", seconds)
        .with_size("deadline_ms", DEADLINE_MS);
    let figures = context.block_on(measure_restart(context.seed(), nodes, rate, seconds))?;
    report.add_row([
        figures.killed.into(),
        figures.restart_seconds.into(),
        figures.recovery_seconds.into(),
        figures.in_time_share.into(),
        figures.max_reads_per_second.into(),
        figures.objects_read.into(),
    ]);
    report.add_remark("all nodes but one in each data centre are killed and restarted at once");
    report.add_remark(
        "times are measured from the kills; recovered: each node knows all backend servers",
    );
    Ok(report)
}

async fn measure_restart(
    seed: u64,
    nodes: u64,
    rate: u64,
    seconds: u64,
) -> Result<RestartFigures, MeshError> {
    let nodes = u8::try_from(nodes)
        .map_err(|_| MeshError::new(ErrorKind::Invalid, "at most 255 nodes in each data centre"))?;
    let spec = BackendSpec::new(bench_mesh::SERVICE, "v1")
        .with_slots(SLOTS)
        .with_service_time(SERVICE_TIME);
    let builder = LocalMesh::builder().data_centres(DATA_CENTRES).nodes(nodes);
    let answers = bench_mesh::answers(DATA_CENTRES, SLOTS);
    let names: Vec<String> = (1..=DATA_CENTRES)
        .flat_map(|centre| (1..=nodes).map(move |node| node_name(centre, node)))
        .collect();
    let backends: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), spec.clone()))
        .collect();
    let servers = backends.len();
    let mut mesh = bench_mesh::start_mesh_with(builder, &answers, &backends).await?;
    let (surviving_nodes, killed_nodes): (Vec<_>, Vec<_>) = names
        .into_iter()
        .partition(|name| name.ends_with(SURVIVOR_SUFFIX));
    let plan = load_plan(&mesh, &surviving_nodes, seed, rate, seconds)?;
    mesh.platform().reset_counters().await?;
    let load = actix_web::rt::spawn(async move { run_load(&plan).await });
    tokio::time::sleep(KILL_DELAY).await;
    let killed_at = Instant::now();
    for name in &killed_nodes {
        mesh.node_mut(name)?.process()?.kill();
    }
    for name in &killed_nodes {
        mesh.start_node(name).await?;
    }
    let restart_seconds = killed_at.elapsed().as_secs_f64();
    mesh.wait_version(1, RECOVERY_TIMEOUT).await?;
    mesh.wait_backends(bench_mesh::SERVICE, servers, RECOVERY_TIMEOUT)
        .await?;
    let recovery_seconds = killed_at.elapsed().as_secs_f64();
    let load = load.await.map_err(|error| {
        MeshError::new(
            ErrorKind::LocalIo,
            format!("load generator task failed: {error}"),
        )
    })??;
    let counters = mesh.platform().counters().await?;
    Ok(RestartFigures {
        killed: killed_nodes.len() as u64,
        restart_seconds,
        recovery_seconds,
        in_time_share: load.total.in_time_share(),
        max_reads_per_second: counters.reads.max_per_second,
        objects_read: counters.objects_read,
    })
}

fn load_plan(
    mesh: &LocalMesh,
    surviving_nodes: &[String],
    seed: u64,
    rate: u64,
    seconds: u64,
) -> Result<LoadPlan, MeshError> {
    let targets: Result<Vec<_>, MeshError> = surviving_nodes
        .iter()
        .map(|name| Ok(mesh.node(name)?.addresses().callers))
        .collect();
    let route = LoadRoute::get(bench_mesh::ROUTES[0].path).with_deadline_ms(DEADLINE_MS);
    Ok(LoadPlan::new(targets?)
        .with_seed(seed)
        .with_rate(rate as f64)
        .with_duration(TimeBudget::from_secs(seconds))
        .with_route(route))
}
