use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    rollout::{MoveRecord, MoveState},
};
use serde::Deserialize;

use crate::{
    backend::{BackendFaults, FaultAction, FaultRule},
    load::{CallOutcome, LoadReport},
    mesh::{BackendSpec, LocalMesh},
    server::wall_clock,
    trial::{
        trial_reporter::TrialReporter,
        trial_run::{ensure, send_load},
    },
};

const SERVICE: &str = "tracker";
const MOVE_DEADLINE: &str = "30s";
const MOVE_TIMEOUT: TimeBudget = TimeBudget::from_secs(90);
const DISCOVERY_TIMEOUT: TimeBudget = TimeBudget::from_secs(30);
const GOOD_VERSION_SEED: u64 = 100;
const BAD_VERSION_SEED: u64 = 200;
const FAILURE_SHARE: f64 = 0.5;

/// The part of the output of `bronzelb move status --output json` that the trial reads.
#[derive(Deserialize)]
struct MoveOutput {
    moves: Vec<MoveRecord>,
}

/// Results of the callers' requests during a move.
#[derive(Default)]
struct MoveStats {
    calls: u64,
    done: u64,
    by_build: BTreeMap<String, u64>,
}

/// Moves a service to a good and then to a bad version under load.
pub(crate) async fn run(
    reporter: &mut TrialReporter,
    mesh: &mut LocalMesh,
) -> Result<(), MeshError> {
    reporter.begin_step("Moving the tracker from v1 to a good v2 within 30 s, under load");
    add_version(mesh, "v2").await?;
    let state = run_move(reporter, mesh, ("v1", "v2"), GOOD_VERSION_SEED).await?;
    ensure(
        state == MoveState::Done,
        "the move to the good version completes",
    )?;

    reporter.begin_step("Moving the tracker from v2 to a v3 that fails half of its requests");
    for name in add_version(mesh, "v3").await? {
        let rule = FaultRule::new(FaultAction::Fail).with_share(FAILURE_SHARE);
        let faults = BackendFaults::from_rules([rule]);
        mesh.set_backend_faults(&name, &faults).await?;
    }
    let state = run_move(reporter, mesh, ("v2", "v3"), BAD_VERSION_SEED).await?;
    ensure(
        state == MoveState::TakenBack,
        "the move to the bad version is rolled back",
    )?;
    let runs = mesh.runs()?;
    let bad_runs = runs.iter().filter(|entry| entry.version == "v3").count();
    reporter.print(&format!("v3 ran {bad_runs} requests in total"));
    Ok(())
}

/// Starts a server of `version` co-located with every node and returns the servers' names.
async fn add_version(mesh: &mut LocalMesh, version: &str) -> Result<Vec<String>, MeshError> {
    let mut names = Vec::new();
    let before = mesh.backend_names();
    for node in mesh.node_names() {
        let spec = BackendSpec::new(SERVICE, version);
        names.push(mesh.add_backend(&node, &spec).await?);
    }
    let trackers = before.iter().filter(|name| name.starts_with(SERVICE));
    let count = trackers.count() + names.len();
    mesh.wait_backends(SERVICE, count, DISCOVERY_TIMEOUT)
        .await?;
    Ok(names)
}

/// Starts a move and sends requests until the move ends or times out.
async fn run_move(
    reporter: &TrialReporter,
    mesh: &LocalMesh,
    (from, to): (&str, &str),
    mut seed: u64,
) -> Result<MoveState, MeshError> {
    let start = [
        "move",
        "start",
        SERVICE,
        "--from",
        from,
        "--to",
        to,
        "--by",
        MOVE_DEADLINE,
    ];
    reporter.print(&run_tool(mesh, &start).await?);
    let deadline = wall_clock().after(MOVE_TIMEOUT);
    let mut stats = MoveStats::default();
    loop {
        stats.add(&send_load(mesh, seed).await?);
        seed += 1;
        let status = ["move", "status", SERVICE, "--output", "json"];
        let state = move_state(&run_tool(mesh, &status).await?)?;
        if state != MoveState::Running || deadline.has_passed(wall_clock()) {
            reporter.print_elapsed(&stats.describe());
            reporter.print(&run_tool(mesh, &["move", "status", SERVICE]).await?);
            return Ok(state);
        }
    }
}

async fn run_tool(mesh: &LocalMesh, args: &[&str]) -> Result<String, MeshError> {
    let platform = mesh.platform_address().to_string();
    let mut all = args.to_vec();
    all.extend(["--mesh", "local", "--platform", &platform]);
    let output = mesh.run_tool(&all).await?;
    if output.exit_code == Some(0) {
        return Ok(output.text);
    }
    let message = format!("bronzelb {}: {}", args.join(" "), output.text);
    Err(MeshError::new(ErrorKind::LocalIo, message))
}

fn move_state(text: &str) -> Result<MoveState, MeshError> {
    let output: MoveOutput = serde_json::from_str(text)
        .map_err(|error| MeshError::invalid(format!("malformed move status {text:?}: {error}")))?;
    let record = output.moves.first().ok_or_else(|| {
        MeshError::new(
            ErrorKind::NotFound,
            "move status does not list the started move",
        )
    })?;
    Ok(record.state)
}

impl MoveStats {
    fn add(&mut self, report: &LoadReport) {
        self.calls += report.total.sent;
        self.done += report.total.count(CallOutcome::Done);
        if let Some(route) = report.route("/positions") {
            for (build, count) in &route.builds {
                *self.by_build.entry(build.clone()).or_default() += count;
            }
        }
    }

    fn describe(&self) -> String {
        let builds: Vec<_> = self
            .by_build
            .iter()
            .map(|(build, count)| format!("{count} by {build}"))
            .collect();
        format!(
            "{} calls, {} done (reads: {})",
            self.calls,
            self.done,
            builds.join(", ")
        )
    }
}
