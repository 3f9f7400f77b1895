use std::net::SocketAddr;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::{
    experiment::{Experiment, ExperimentContext, ExperimentReport, request::bench_mesh},
    load::{LatencySummary, LoadPlan, LoadRoute, run_load},
    mesh::{BackendSpec, LocalMesh},
};

inventory::submit! {
    Experiment {
        name: "request-latency",
        about: "Latency that one hop and two add to a direct call, in alternating rounds",
        run,
    }
}

const DEFAULT_RATE: u64 = 500;
const DEFAULT_SECONDS: u64 = 3;
const DEFAULT_ROUNDS: u64 = 5;
const MAX_LAG_US: u64 = 200;
const WARM_UP: TimeBudget = TimeBudget::from_secs(1);
const SERVER_NODE: &str = "dc1-n1";
const OTHER_NODE: &str = "dc1-n2";
const SLOTS: u32 = 64;

/// One way to the backend server, with its figures of each round.
struct MeasuredPath {
    name: &'static str,
    target: SocketAddr,
    rounds: Vec<MeasuredRound>,
    failures: u64,
}

struct MeasuredRound {
    done: LatencySummary,
    lag_p99_us: u64,
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let rate = context.size("rate", DEFAULT_RATE);
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let rounds = context.size("rounds", DEFAULT_ROUNDS);
    let mut paths = context.block_on(async {
        let spec = BackendSpec::new(bench_mesh::SERVICE, "v1")
            .with_slots(SLOTS)
            .with_service_time("0ms");
        let builder = LocalMesh::builder().nodes(2).without_proxy();
        let mesh = bench_mesh::start(builder, 1, &[(SERVER_NODE, spec)]).await?;
        let mut paths = paths(&mesh)?;
        for round in 0..rounds {
            for path in &mut paths {
                let plan = LoadPlan::new([path.target])
                    .with_seed(context.seed() + round)
                    .with_rate(rate as f64)
                    .with_warm_up(WARM_UP)
                    .with_duration(TimeBudget::from_secs(seconds))
                    .with_route(LoadRoute::get(bench_mesh::ROUTES[0].path));
                let report = run_load(&plan).await?;
                path.failures += report.total.sent - report.total.in_time;
                path.rounds.push(MeasuredRound {
                    done: report.total.done,
                    lag_p99_us: report.send_lag.p99_us,
                });
            }
        }
        Ok(paths)
    })?;
    let columns = [
        "path",
        "p50_us",
        "p99_us",
        "added_p50_us",
        "added_p99_us",
        "failed",
        "lag_p99_us",
        "quiet_rounds",
    ];
    let mut report = ExperimentReport::new("request-latency", context.seed(), columns)
        .size("rate", rate)
        .size("seconds", seconds)
        .size("rounds", rounds);
    let lags: Vec<_> = paths
        .iter()
        .map(|path| median(path, |round| round.lag_p99_us))
        .collect();
    let quiet_rounds: Vec<_> = paths.iter_mut().map(MeasuredPath::keep_quiet).collect();
    let direct_p50 = median(&paths[0], |round| round.done.p50_us);
    let direct_p99 = median(&paths[0], |round| round.done.p99_us);
    for (index, path) in paths.iter().enumerate() {
        let p50 = median(path, |round| round.done.p50_us);
        let p99 = median(path, |round| round.done.p99_us);
        report.row([
            path.name.into(),
            p50.into(),
            p99.into(),
            p50.saturating_sub(direct_p50).into(),
            p99.saturating_sub(direct_p99).into(),
            path.failures.into(),
            lags[index].into(),
            quiet_rounds[index].into(),
        ]);
    }
    report.remark("each figure is the median over the rounds, which alternate between the paths");
    report
        .remark("rounds in which the load tool itself was late are left out; zero where all were");
    Ok(report)
}

fn paths(mesh: &LocalMesh) -> Result<Vec<MeasuredPath>, MeshError> {
    let direct = bench_mesh::backend_targets(mesh)?[0];
    let one_hop = mesh.node(SERVER_NODE)?.addresses().callers;
    let two_hops = mesh.node(OTHER_NODE)?.addresses().callers;
    let named = [
        ("direct", direct),
        ("one hop", one_hop),
        ("two hops", two_hops),
    ];
    let paths = named.map(|(name, target)| MeasuredPath {
        name,
        target,
        rounds: Vec::new(),
        failures: 0,
    });
    Ok(paths.into())
}

impl MeasuredPath {
    /// Leaves out the rounds whose latencies hold the load tool's own lag; returns what is left.
    fn keep_quiet(&mut self) -> u64 {
        self.rounds.retain(|round| round.lag_p99_us <= MAX_LAG_US);
        self.rounds.len() as u64
    }
}

fn median(path: &MeasuredPath, figure: impl Fn(&MeasuredRound) -> u64) -> u64 {
    let mut figures: Vec<_> = path.rounds.iter().map(figure).collect();
    figures.sort_unstable();
    figures.get(figures.len() / 2).copied().unwrap_or(0)
}
