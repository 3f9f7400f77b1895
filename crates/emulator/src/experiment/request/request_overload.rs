use std::net::SocketAddr;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::{
    experiment::{
        ExperimentContext, ExperimentEntry, ExperimentReport, ReportCell,
        request::bench_mesh::{self, BenchRoute},
    },
    load::{CallOutcome, LoadPlan, LoadReport, LoadRoute, RouteReport, TargetPolicy, run_load},
    mesh::{BackendSpec, LocalMesh},
};

inventory::submit! {
    ExperimentEntry {
        name: "request-overload",
        about: "Goodput and deadlines met per priority at 0.5 to 5 times the capacity",
        run,
    }
}

const NODES: [&str; 3] = ["dc1-n1", "dc2-n1", "dc3-n1"];
const DATA_CENTRES: u8 = 3;
const DEFAULT_SLOTS: u64 = 4;
const DEFAULT_SERVICE_MS: u64 = 20;
const DEFAULT_SECONDS: u64 = 5;
const MILLIS_PER_SECOND: u64 = 1_000;
const LOAD_FACTORS: [f64; 4] = [0.5, 1.0, 2.0, 5.0];
const DEADLINE_MS: u64 = 500;
const WARM_UP: TimeBudget = TimeBudget::from_secs(2);
const BASELINE_RETRIES: u32 = 3;
/// Weights of the priorities in the load, from urgent to deferrable.
const WEIGHTS: [u32; 3] = [2, 3, 5];

/// Caller of the service: the mesh or the baseline.
struct ComparedCaller {
    name: &'static str,
    targets: Vec<SocketAddr>,
    policy: TargetPolicy,
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let slots = context.size("slots", DEFAULT_SLOTS);
    let service_ms = context.size("service_ms", DEFAULT_SERVICE_MS);
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let capacity = slots * NODES.len() as u64 * MILLIS_PER_SECOND / service_ms;
    let columns = [
        "caller",
        "load",
        "goodput_per_s",
        "of_capacity",
        "urgent_in_time",
        "normal_in_time",
        "deferrable_in_time",
        "runs_per_done",
        "refused_p99_ms",
    ];
    let mut report = ExperimentReport::new("request-overload", context.seed(), columns)
        .with_size("servers", NODES.len() as u64)
        .with_size("slots", slots)
        .with_size("service_ms", service_ms)
        .with_size("seconds", seconds)
        .with_size("deadline_ms", DEADLINE_MS)
        .with_size("capacity_per_s", capacity);
    for factor in LOAD_FACTORS {
        for uses_mesh in [true, false] {
            // Each run starts a new mesh, so that no backlog is left from the previous run.
            let row = context.block_on(async {
                let mesh = start_mesh(slots, service_ms).await?;
                let caller = compared_caller(&mesh, uses_mesh)?;
                let plan = load_plan(context, &caller, factor * capacity as f64, seconds);
                let load = run_load(&plan).await?;
                let runs = total_runs(&mesh).await?;
                Ok(report_cells(&caller, factor, capacity, &load, runs))
            })?;
            report.add_row(row);
        }
    }
    report.add_remark(
        "load is a multiple of the capacity; in_time is the share of calls completed by their \
         deadline",
    );
    Ok(report)
}

async fn start_mesh(slots: u64, service_ms: u64) -> Result<LocalMesh, MeshError> {
    let spec = BackendSpec::new(bench_mesh::SERVICE, "v1")
        .with_slots(u32::try_from(slots).unwrap_or(u32::MAX))
        .with_service_time(format!("{service_ms}ms"));
    let backends = NODES.map(|node| (node, spec.clone()));
    let builder = LocalMesh::builder().without_proxy();
    bench_mesh::start_mesh(builder, DATA_CENTRES, &backends).await
}

fn compared_caller(mesh: &LocalMesh, uses_mesh: bool) -> Result<ComparedCaller, MeshError> {
    if uses_mesh {
        return Ok(ComparedCaller {
            name: "mesh",
            targets: bench_mesh::node_targets(mesh)?,
            policy: TargetPolicy::Random,
        });
    }
    Ok(ComparedCaller {
        name: "round robin, 3 retries",
        targets: bench_mesh::backend_targets(mesh)?,
        policy: TargetPolicy::RoundRobin(BASELINE_RETRIES),
    })
}

fn load_plan(
    context: &ExperimentContext,
    caller: &ComparedCaller,
    rate: f64,
    seconds: u64,
) -> LoadPlan {
    let mut plan = LoadPlan::new(caller.targets.clone())
        .with_seed(context.seed())
        .with_policy(caller.policy)
        .with_rate(rate)
        .with_warm_up(WARM_UP)
        .with_duration(TimeBudget::from_secs(seconds));
    for (route, weight) in bench_mesh::ROUTES.into_iter().zip(WEIGHTS) {
        plan = plan.with_route(load_route(route, weight));
    }
    plan
}

fn load_route(route: BenchRoute, weight: u32) -> LoadRoute {
    LoadRoute::get(route.path)
        .with_weight(weight)
        .with_deadline_ms(DEADLINE_MS)
}

async fn total_runs(mesh: &LocalMesh) -> Result<u64, MeshError> {
    let mut runs = 0;
    for name in mesh.backend_names() {
        runs += mesh.tally(&name).await?.totals.run;
    }
    Ok(runs)
}

fn report_cells(
    caller: &ComparedCaller,
    factor: f64,
    capacity: u64,
    load: &LoadReport,
    runs: u64,
) -> Vec<ReportCell> {
    let mut cells: Vec<ReportCell> = vec![
        caller.name.into(),
        factor.into(),
        load.goodput().into(),
        (load.goodput() / capacity as f64).into(),
    ];
    let shares = load.routes.iter().map(RouteReport::in_time_share);
    cells.extend(shares.map(ReportCell::from));
    let done = load.total.count(CallOutcome::Done) + load.warm_up_done;
    cells.push((runs as f64 / done.max(1) as f64).into());
    cells.push((load.total.refused.p99_us as f64 / MILLIS_PER_SECOND as f64).into());
    cells
}
