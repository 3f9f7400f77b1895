use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::{
    backend::{BackendFaults, FaultAction, FaultRule, ReportFaults},
    experiment::{ExperimentContext, ExperimentEntry, ExperimentReport, request::bench_mesh},
    load::{CallOutcome, LoadPlan, LoadRoute, TargetPolicy, run_load},
    mesh::{BackendSpec, LocalMesh},
};

inventory::submit! {
    ExperimentEntry {
        name: "request-sick-server",
        about: "Goodput while one of three servers is slow, failing, dead, frozen or misreporting",
        run,
    }
}

const NODES: [&str; 3] = ["dc1-n1", "dc2-n1", "dc3-n1"];
const DATA_CENTRES: u8 = 3;
const SLOTS: u32 = 4;
const SERVICE_TIME: &str = "20ms";
const DEFAULT_RATE: u64 = 300;
const DEFAULT_SECONDS: u64 = 5;
const DEADLINE_MS: u64 = 500;
const DELAY_MS: u64 = 400;
const BASELINE_RETRIES: u32 = 3;
const SERVER_FAULTS: [ServerFault; 6] = [
    ServerFault::None,
    ServerFault::Slow,
    ServerFault::FailsFast,
    ServerFault::Killed,
    ServerFault::Frozen,
    ServerFault::MisreportsHealth,
];

/// Fault of one of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerFault {
    None,
    Slow,
    FailsFast,
    Killed,
    Frozen,
    /// Fails every request and reports itself as healthy and idle.
    MisreportsHealth,
}

impl ServerFault {
    const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "slow",
            Self::FailsFast => "fails fast",
            Self::Killed => "dead",
            Self::Frozen => "frozen",
            Self::MisreportsHealth => "fails, reports idle",
        }
    }

    async fn inject(self, mesh: &mut LocalMesh) -> Result<(), MeshError> {
        let name = mesh.backend_names().remove(0);
        let rule = match self {
            Self::None => return Ok(()),
            Self::Killed => {
                mesh.backend_mut(&name)?.process().kill();
                return Ok(());
            }
            Self::Frozen => return mesh.backend_mut(&name)?.process().pause(),
            Self::Slow => FaultRule::new(FaultAction::Delay(DELAY_MS)),
            Self::FailsFast => FaultRule::new(FaultAction::FailFast),
            Self::MisreportsHealth => FaultRule::new(FaultAction::Fail),
        };
        let mut faults = BackendFaults::from_rules([rule]);
        if self == Self::MisreportsHealth {
            faults.report = ReportFaults {
                healthy: Some(true),
                busy: Some(0),
                ..ReportFaults::default()
            };
        }
        mesh.set_backend_faults(&name, &faults).await
    }
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let rate = context.size("rate", DEFAULT_RATE);
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let columns = [
        "server",
        "caller",
        "in_time_share",
        "p50_ms",
        "p99_ms",
        "late",
        "not_run",
        "failed",
        "unknown",
        "no_answer",
    ];
    let mut report = ExperimentReport::new("request-sick-server", context.seed(), columns)
        .with_size("servers", NODES.len() as u64)
        .with_size("rate", rate)
        .with_size("seconds", seconds)
        .with_size("deadline_ms", DEADLINE_MS);
    for fault in SERVER_FAULTS {
        for uses_mesh in [true, false] {
            let load = context.block_on(async {
                let spec = BackendSpec::new(bench_mesh::SERVICE, "v1")
                    .with_slots(SLOTS)
                    .with_service_time(SERVICE_TIME);
                let backends = NODES.map(|node| (node, spec.clone()));
                let builder = LocalMesh::builder().without_proxy();
                let mut mesh = bench_mesh::start_mesh(builder, DATA_CENTRES, &backends).await?;
                let plan = load_plan(&mesh, uses_mesh)?
                    .with_seed(context.seed())
                    .with_rate(rate as f64)
                    .with_duration(TimeBudget::from_secs(seconds));
                fault.inject(&mut mesh).await?;
                run_load(&plan).await
            })?;
            let caller = if uses_mesh {
                "mesh"
            } else {
                "round robin, 3 retries"
            };
            let total = &load.total;
            let late = total.count(CallOutcome::Done) - total.in_time;
            let failed = total.count(CallOutcome::Failed) + total.count(CallOutcome::Unmarked);
            report.add_row([
                fault.name().into(),
                caller.into(),
                total.in_time_share().into(),
                (total.done.p50_us as f64 / 1_000.0).into(),
                (total.done.p99_us as f64 / 1_000.0).into(),
                late.into(),
                total.count(CallOutcome::NotRun).into(),
                failed.into(),
                total.count(CallOutcome::OutcomeUnknown).into(),
                total.count(CallOutcome::NoAnswer).into(),
            ]);
        }
    }
    report.add_remark("the fault is injected just before the first measured request");
    Ok(report)
}

fn load_plan(mesh: &LocalMesh, uses_mesh: bool) -> Result<LoadPlan, MeshError> {
    let plan = if uses_mesh {
        LoadPlan::new(bench_mesh::node_targets(mesh)?)
    } else {
        LoadPlan::new(bench_mesh::backend_targets(mesh)?)
            .with_policy(TargetPolicy::RoundRobin(BASELINE_RETRIES))
    };
    let route = LoadRoute::get(bench_mesh::ROUTES[0].path).with_deadline_ms(DEADLINE_MS);
    Ok(plan.with_route(route))
}
