use std::net::SocketAddr;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::{
    experiment::{ExperimentContext, ExperimentEntry, ExperimentReport, request::bench_mesh},
    load::{LatencySummary, LoadPlan, LoadRoute, run_load},
    mesh::{BackendSpec, LocalMesh},
};

inventory::submit! {
    ExperimentEntry {
        name: "request-latency",
        about: "Latency that one and two hops add to a direct call, in alternating rounds",
        run,
    }
}

const DEFAULT_RATE: u64 = 500;
const DEFAULT_SECONDS: u64 = 3;
const DEFAULT_ROUNDS: u64 = 5;
const MAX_SEND_LAG_US: u64 = 200;
const WARM_UP: TimeBudget = TimeBudget::from_secs(1);
const SERVER_NODE: &str = "dc1-n1";
const ENTRY_NODE: &str = "dc1-n2";
const SLOTS: u32 = 64;

/// Path to the backend server, with the figures of each round.
struct MeasuredPath {
    name: &'static str,
    target: SocketAddr,
    rounds: Vec<MeasuredRound>,
    failures: u64,
}

struct MeasuredRound {
    done: LatencySummary,
    send_lag_p99_us: u64,
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
        let mesh = bench_mesh::start_mesh(builder, 1, &[(SERVER_NODE, spec)]).await?;
        let mut paths = measured_paths(&mesh)?;
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
                    send_lag_p99_us: report.send_lag.p99_us,
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
        .with_size("rate", rate)
        .with_size("seconds", seconds)
        .with_size("rounds", rounds);
    let send_lags: Vec<_> = paths
        .iter()
        .map(|path| median(path, |round| round.send_lag_p99_us))
        .collect();
    let kept_rounds: Vec<_> = paths
        .iter_mut()
        .map(MeasuredPath::discard_lagging_rounds)
        .collect();
    let direct_p50 = median(&paths[0], |round| round.done.p50_us);
    let direct_p99 = median(&paths[0], |round| round.done.p99_us);
    for (index, path) in paths.iter().enumerate() {
        let p50 = median(path, |round| round.done.p50_us);
        let p99 = median(path, |round| round.done.p99_us);
        report.add_row([
            path.name.into(),
            p50.into(),
            p99.into(),
            p50.saturating_sub(direct_p50).into(),
            p99.saturating_sub(direct_p99).into(),
            path.failures.into(),
            send_lags[index].into(),
            kept_rounds[index].into(),
        ]);
    }
    report
        .add_remark("each figure is the median over the rounds, which alternate between the paths");
    report.add_remark(
        "rounds in which the load generator sent late are left out; zero if none remains",
    );
    Ok(report)
}

fn measured_paths(mesh: &LocalMesh) -> Result<Vec<MeasuredPath>, MeshError> {
    let direct = bench_mesh::backend_targets(mesh)?[0];
    let one_hop = mesh.node(SERVER_NODE)?.addresses().callers;
    let two_hops = mesh.node(ENTRY_NODE)?.addresses().callers;
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
    /// Discards the rounds whose latencies include send lag of the load generator, and returns the
    /// number of remaining rounds.
    fn discard_lagging_rounds(&mut self) -> u64 {
        self.rounds
            .retain(|round| round.send_lag_p99_us <= MAX_SEND_LAG_US);
        self.rounds.len() as u64
    }
}

fn median(path: &MeasuredPath, value: impl Fn(&MeasuredRound) -> u64) -> u64 {
    let mut values: Vec<_> = path.rounds.iter().map(value).collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}
