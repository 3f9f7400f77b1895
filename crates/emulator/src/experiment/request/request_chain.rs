use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::{
    backend::{BackendFaults, FaultAction, FaultRule},
    experiment::{ExperimentContext, ExperimentEntry, ExperimentReport, request::bench_mesh},
    load::{CallOutcome, LoadPlan, LoadRoute, run_load},
    mesh::{BackendSpec, LocalMesh},
};

inventory::submit! {
    ExperimentEntry {
        name: "request-chain",
        about: "Executions per call along chains whose last hop fails half of its calls",
        run,
    }
}

const NODES: [&str; 3] = ["dc1-n1", "dc2-n1", "dc3-n1"];
const DATA_CENTRES: u8 = 3;
const DEPTHS: [usize; 4] = [1, 3, 7, 21];
const SLOTS: u32 = 64;
const DEFAULT_RATE: u64 = 20;
const DEFAULT_SECONDS: u64 = 5;
const DEADLINE_MS: u64 = 5_000;
const FAILURE_SHARE: f64 = 0.5;
/// Path of every hop but the last.
const SUCCESS_PATH: &str = "/normal";
/// Path of the last hop, which fails `FAILURE_SHARE` of its calls.
const DEEPEST_PATH: &str = "/urgent";

/// Figures of chains of one depth.
struct ChainFigures {
    calls: u64,
    done: u64,
    deepest_runs: u64,
    other_runs: u64,
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let rate = context.size("rate", DEFAULT_RATE);
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let columns = [
        "depth",
        "calls",
        "done",
        "deepest_runs",
        "runs_per_hop",
        "deepest_per_call",
    ];
    let mut report = ExperimentReport::new("request-chain", context.seed(), columns)
        .with_size("servers", NODES.len() as u64)
        .with_size("rate", rate)
        .with_size("seconds", seconds)
        .with_size("deadline_ms", DEADLINE_MS);
    for depth in DEPTHS {
        let figures = context.block_on(measure_depth(context.seed(), depth, rate, seconds))?;
        let hops = figures.calls * depth as u64;
        let runs = figures.deepest_runs + figures.other_runs;
        report.add_row([
            (depth as u64).into(),
            figures.calls.into(),
            figures.done.into(),
            figures.deepest_runs.into(),
            (runs as f64 / hops.max(1) as f64).into(),
            (figures.deepest_runs as f64 / figures.calls.max(1) as f64).into(),
        ]);
    }
    report.add_remark("runs_per_hop is the number of runs divided by the calls times the depth");
    Ok(report)
}

async fn measure_depth(
    seed: u64,
    depth: usize,
    rate: u64,
    seconds: u64,
) -> Result<ChainFigures, MeshError> {
    let spec = BackendSpec::new(bench_mesh::SERVICE, "v1").with_slots(SLOTS);
    let backends = NODES.map(|node| (node, spec.clone()));
    let builder = LocalMesh::builder().without_proxy();
    let mesh = bench_mesh::start_mesh(builder, DATA_CENTRES, &backends).await?;
    let rule = FaultRule::new(FaultAction::Fail)
        .with_path(DEEPEST_PATH)
        .with_share(FAILURE_SHARE);
    for (index, name) in mesh.backend_names().iter().enumerate() {
        let mut faults = BackendFaults::from_rules([rule.clone()]);
        faults.seed = seed + index as u64;
        mesh.set_backend_faults(name, &faults).await?;
    }
    let plan = LoadPlan::new(bench_mesh::node_targets(&mesh)?)
        .with_seed(seed)
        .with_rate(rate as f64)
        .with_duration(TimeBudget::from_secs(seconds))
        .with_route(chain_route(depth));
    let load = run_load(&plan).await?;
    let mut figures = ChainFigures {
        calls: load.total.sent,
        done: load.total.count(CallOutcome::Done),
        deepest_runs: 0,
        other_runs: 0,
    };
    for name in mesh.backend_names() {
        let by_path = mesh.tally(&name).await?.by_path;
        let runs = |path: &str| by_path.get(path).map_or(0, |tally| u64::from(tally.runs));
        figures.deepest_runs += runs(DEEPEST_PATH);
        figures.other_runs += runs(SUCCESS_PATH);
    }
    Ok(figures)
}

/// Builds the route of a chain of `depth` hops, the last of which calls `DEEPEST_PATH`.
fn chain_route(depth: usize) -> LoadRoute {
    if depth == 1 {
        return LoadRoute::get(DEEPEST_PATH).with_deadline_ms(DEADLINE_MS);
    }
    let mut further_paths = vec![SUCCESS_PATH; depth - 2];
    further_paths.push(DEEPEST_PATH);
    LoadRoute::get(SUCCESS_PATH)
        .with_deadline_ms(DEADLINE_MS)
        .with_header("x-emulator-chain", further_paths.join(","))
}
