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
        trial_run::{expect, send_load},
    },
};

const SERVICE: &str = "tracker";
const MOVE_TIME: &str = "30s";
const MOVE_LIMIT: TimeBudget = TimeBudget::from_secs(90);
const KNOWN_LIMIT: TimeBudget = TimeBudget::from_secs(30);
const GOOD_SEED: u64 = 100;
const BAD_SEED: u64 = 200;
const FAILING_SHARE: f64 = 0.5;

/// What `bronzelb move status --output json` prints, as far as the trial looks at it.
#[derive(Deserialize)]
struct MoveOutput {
    moves: Vec<MoveRecord>,
}

/// What callers got while a move ran.
#[derive(Default)]
struct MoveFigures {
    calls: u64,
    done: u64,
    by_build: BTreeMap<String, u64>,
}

/// Runs one good and one bad version move under load.
pub(crate) async fn run(
    account: &mut TrialReporter,
    mesh: &mut LocalMesh,
) -> Result<(), MeshError> {
    account.begin("Moving the tracker from v1 to a good v2 within 30 s, under load");
    add_version(mesh, "v2").await?;
    let state = run_move(account, mesh, ("v1", "v2"), GOOD_SEED).await?;
    expect(state == MoveState::Done, "the good version is moved over")?;

    account.begin("Moving the tracker from v2 to a v3 that fails half of its requests");
    for name in add_version(mesh, "v3").await? {
        let rule = FaultRule::new(FaultAction::Fail).with_share(FAILING_SHARE);
        let faults = BackendFaults::from_rules([rule]);
        mesh.set_backend_faults(&name, &faults).await?;
    }
    let state = run_move(account, mesh, ("v2", "v3"), BAD_SEED).await?;
    expect(
        state == MoveState::TakenBack,
        "the bad version is taken back",
    )?;
    let runs = mesh.runs()?;
    let bad_runs = runs.iter().filter(|entry| entry.version == "v3").count();
    account.note(&format!("v3 ran {bad_runs} requests in all"));
    Ok(())
}

/// Starts a server of a version beside every node and returns the servers' names.
async fn add_version(mesh: &mut LocalMesh, version: &str) -> Result<Vec<String>, MeshError> {
    let mut names = Vec::new();
    let before = mesh.backend_names();
    for node in mesh.node_names() {
        let spec = BackendSpec::new(SERVICE, version);
        names.push(mesh.add_backend(&node, &spec).await?);
    }
    let trackers = before.iter().filter(|name| name.starts_with(SERVICE));
    let count = trackers.count() + names.len();
    mesh.wait_backends(SERVICE, count, KNOWN_LIMIT).await?;
    Ok(names)
}

/// Starts a move and sends requests until it has ended.
async fn run_move(
    account: &TrialReporter,
    mesh: &LocalMesh,
    (from, to): (&str, &str),
    mut seed: u64,
) -> Result<MoveState, MeshError> {
    let start = [
        "move", "start", SERVICE, "--from", from, "--to", to, "--by", MOVE_TIME,
    ];
    account.note(&run_tool(mesh, &start).await?);
    let deadline = wall_clock().after(MOVE_LIMIT);
    let mut figures = MoveFigures::default();
    loop {
        figures.add(&send_load(mesh, seed).await?);
        seed += 1;
        let status = ["move", "status", SERVICE, "--output", "json"];
        let state = move_state(&run_tool(mesh, &status).await?)?;
        if state != MoveState::Running || deadline.has_passed(wall_clock()) {
            account.note_timed(&figures.describe());
            account.note(&run_tool(mesh, &["move", "status", SERVICE]).await?);
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
        .map_err(|error| MeshError::invalid(format!("status {text:?}: {error}")))?;
    let record = output.moves.first().ok_or_else(|| {
        MeshError::new(
            ErrorKind::NotFound,
            "the move that was started is not known",
        )
    })?;
    Ok(record.state)
}

impl MoveFigures {
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
            "{} calls, {} done; positions answered {};",
            self.calls,
            self.done,
            builds.join(", ")
        )
    }
}
