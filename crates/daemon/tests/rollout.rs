//! Integration tests of version moves in a mesh of real processes.

use std::time::Duration;

use bronzelb_emulator::{
    backend::{BackendFaults, FaultAction, FaultRule},
    http::{CallRequest, JsonClient},
    mesh::{BackendSpec, CommandOutput, LocalMesh},
    platform::{LostResponses, PlatformFaults},
    proxy::ProxyAction,
    server::wall_clock,
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
};
use futures::future::join_all;

const WAIT_LIMIT: TimeBudget = TimeBudget::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const ROUNDS_PER_STATUS_CHECK: u32 = 20;
/// Longer than the latency that the route's objective allows.
const SLOW_MILLIS: u64 = 400;
const HALF_PPM: u32 = 500_000;
/// Address without a listener.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";
/// Target for the time until a mark reaches every reachable node.
const MARK_PROPAGATION_LIMIT: TimeBudget = TimeBudget::from_secs(5);

const ANSWERS_YAML: &str = "
mesh: local
data_centres:
  dc1: {latency: {dc2: 500us, dc3: 500us}}
  dc2: {latency: {dc3: 500us}}
  dc3: {}
defaults:
  services:
    slots: 12
    connections: 110
    report_format: json-load
    slow_start: 0ms
    drain: 30s
    rollout: {first_share: 5%, min_requests: 20, hold: 2s}
  routes:
    timeout: 3s
    objective: {success: 99.9%, latency: 250ms}
services:
  tracker: {}
routes:
  reads: {path: /reads, methods: [GET], service: tracker, priority: urgent}
";

/// Starts a mesh with a `v1` server beside every node.
async fn start() -> LocalMesh {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .backend(BackendSpec::new("tracker", "v1"))
        .start()
        .await
        .expect("the mesh starts");
    mesh.publish(ANSWERS_YAML)
        .await
        .expect("the answers are valid");
    mesh.wait_version(1, WAIT_LIMIT).await.expect("is in force");
    mesh.wait_backends("tracker", 3, WAIT_LIMIT)
        .await
        .expect("are known everywhere");
    mesh
}

/// Starts a move and then a `v2` server beside every node; returns the servers' names.
async fn start_move(mesh: &mut LocalMesh, by: &str, faults: &BackendFaults) -> Vec<String> {
    let output = run_move_tool(
        mesh,
        &["start", "tracker", "--from", "v1", "--to", "v2", "--by", by],
    )
    .await;
    assert_eq!(output.exit_code, Some(0), "{}", output.text);
    let mut names = Vec::new();
    for node in mesh.node_names() {
        wait_move(mesh, &node, "running").await;
        let spec = BackendSpec::new("tracker", "v2");
        let name = mesh.add_backend(&node, &spec).await.expect("starts");
        mesh.set_backend_faults(&name, faults)
            .await
            .expect("are set");
        names.push(name);
    }
    mesh.wait_backends("tracker", 6, WAIT_LIMIT)
        .await
        .expect("are known everywhere");
    names
}

async fn run_move_tool(mesh: &LocalMesh, args: &[&str]) -> CommandOutput {
    let platform = mesh.platform_address().to_string();
    let mut all = vec!["move"];
    all.extend(args);
    all.extend(["--mesh", "local", "--platform", &platform]);
    mesh.run_tool(&all).await.expect("the tool runs")
}

async fn node_moves(mesh: &LocalMesh, node: &str) -> serde_json::Value {
    let operators = mesh.node(node).expect("exists").addresses().operators;
    let client = JsonClient::new();
    client.get(operators, "/v1/moves").await.expect("answers")
}

/// Waits until a node reports the move in `state`.
async fn wait_move(mesh: &LocalMesh, node: &str, state: &str) {
    let deadline = wall_clock().after(WAIT_LIMIT);
    while node_moves(mesh, node).await[0]["record"]["state"] != state {
        assert!(!deadline.has_passed(wall_clock()), "{node} is not {state}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests to every node until `is_over` returns true; returns the number that failed.
async fn send_requests_until(
    mesh: &LocalMesh,
    limit: TimeBudget,
    is_over: impl AsyncFn(&LocalMesh) -> bool,
) -> usize {
    let nodes = mesh.node_names();
    let deadline = wall_clock().after(limit);
    let mut failed = 0;
    for round in 0_u32.. {
        let request = CallRequest::get(format!("/reads/{round}"));
        let answers = join_all(nodes.iter().map(|node| mesh.call(node, &request))).await;
        let is_good = |status| status == 200;
        failed += answers
            .iter()
            .filter(|answer| !answer.as_ref().is_ok_and(|answer| is_good(answer.status)))
            .count();
        if round % ROUNDS_PER_STATUS_CHECK == 0 && is_over(mesh).await {
            return failed;
        }
        if deadline.has_passed(wall_clock()) {
            let moves = join_all(nodes.iter().map(|node| node_moves(mesh, node))).await;
            panic!("not over within {limit}: {round} rounds, {failed} failed; moves: {moves:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    failed
}

async fn move_states(mesh: &LocalMesh) -> Vec<String> {
    let nodes = mesh.node_names();
    let moves = join_all(nodes.iter().map(|node| node_moves(mesh, node))).await;
    let state = |moves: &serde_json::Value| moves[0]["record"]["state"].to_string();
    moves.iter().map(state).collect()
}

async fn all_nodes_in_state(mesh: &LocalMesh, state: &str) -> bool {
    let states = move_states(mesh).await;
    states.iter().all(|held| held.trim_matches('"') == state)
}

async fn all_nodes_marked(mesh: &LocalMesh) -> bool {
    let nodes = mesh.node_names();
    let moves = join_all(nodes.iter().map(|node| node_moves(mesh, node))).await;
    moves.iter().all(|moves| !moves[0]["mark"].is_null())
}

/// Returns when the last request on one of `servers` started.
fn last_run_start(mesh: &LocalMesh, servers: &[String]) -> Option<ClockInstant> {
    let runs = mesh.runs().expect("the journals are readable");
    let on_servers = runs.iter().filter(|run| servers.contains(&run.backend));
    on_servers.map(|run| run.at).max()
}

fn failing_faults() -> BackendFaults {
    faults(FaultAction::Fail)
}

fn faults(action: FaultAction) -> BackendFaults {
    BackendFaults {
        rules: vec![FaultRule {
            path: String::new(),
            share: 1.0,
            above: 0,
            after_ms: 0,
            next: None,
            action,
        }],
        ..BackendFaults::default()
    }
}

#[actix_web::test]
async fn good_version_is_done_in_time_and_no_request_fails() {
    let mut mesh = start().await;
    let servers = start_move(&mut mesh, "25s", &BackendFaults::default()).await;
    let failed = send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        // Printed only when the test fails.
        println!("{}", node_moves(mesh, "dc1-n1").await);
        all_nodes_in_state(mesh, "done").await
    })
    .await;
    assert_eq!(failed, 0);
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    assert!(
        output.text.contains("from v1 to v2: done at"),
        "{}",
        output.text
    );
    assert!(!output.text.contains("not heard"), "{}", output.text);

    let late = run_move_tool(&mesh, &["stop", "tracker"]).await;
    assert_eq!(late.exit_code, Some(5), "{}", late.text);
    let answer = mesh.call("dc1-n1", &CallRequest::get("/reads/1")).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.headers["x-bronzelb-build"], "v2");
    assert!(servers.contains(&answer.headers["x-bronzelb-backend"]));
}

#[actix_web::test]
async fn failing_version_is_taken_back_everywhere() {
    let mut mesh = start().await;
    let servers = start_move(&mut mesh, "60s", &failing_faults()).await;
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        all_nodes_in_state(mesh, "taken-back").await
    })
    .await;
    let known_at = wall_clock();
    let failed = send_requests_for(&mesh, TimeBudget::from_secs(1)).await;
    assert_eq!(failed, 0);
    assert!(last_run_start(&mesh, &servers).expect("some ran") < known_at);
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    assert!(output.text.contains("taken back at"), "{}", output.text);
    assert!(output.text.contains("failures"), "{}", output.text);
    let again = run_move_tool(&mesh, &["stop", "tracker"]).await;
    assert_eq!(again.exit_code, Some(0), "{}", again.text);
}

async fn send_requests_for(mesh: &LocalMesh, time: TimeBudget) -> usize {
    let end = wall_clock().after(time);
    send_requests_until(mesh, WAIT_LIMIT, async |_| end.has_passed(wall_clock())).await
}

#[actix_web::test]
async fn mark_stops_the_version_while_the_platform_is_away_and_is_written_later() {
    let mut mesh = start().await;
    let servers = start_move(&mut mesh, "60s", &failing_faults()).await;
    mesh.disconnect_platform().await.expect("is cut");
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| all_nodes_marked(mesh).await).await;
    let known_at = wall_clock();
    send_requests_for(&mesh, TimeBudget::from_secs(1)).await;
    assert!(last_run_start(&mesh, &servers).expect("some ran") < known_at);
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    assert!(output.text.contains(": running"), "{}", output.text);

    mesh.heal().await.expect("is healed");
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        all_nodes_in_state(mesh, "taken-back").await
    })
    .await;
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    assert!(output.text.contains("taken back at"), "{}", output.text);
}

#[actix_web::test]
async fn of_two_concurrent_starts_one_succeeds_and_one_reports_a_conflict() {
    let mut mesh = start().await;
    // The delay makes each operator read the row before either has written it.
    let slow = PlatformFaults {
        delay_ms: SLOW_MILLIS,
        ..PlatformFaults::default()
    };
    let platform = mesh.platform();
    platform.set_faults(&slow).await.expect("are set");
    let args = |to: &'static str| {
        [
            "start", "tracker", "--from", "v1", "--to", to, "--by", "60s",
        ]
    };
    let first_args = args("v2");
    let second_args = args("v3");
    let first = run_move_tool(&mesh, &first_args);
    let second = run_move_tool(&mesh, &second_args);
    let (first, second) = futures::join!(first, second);
    let mut codes = [first.exit_code, second.exit_code];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(5)], "{} {}", first.text, second.text);
    let winner = if first.exit_code == Some(0) {
        "v2"
    } else {
        "v3"
    };
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    let wanted = format!("from v1 to {winner}: running");
    assert!(output.text.contains(&wanted), "{}", output.text);
}

#[actix_web::test]
async fn stopped_move_sends_nothing_to_the_new_version() {
    let mut mesh = start().await;
    let servers = start_move(&mut mesh, "60s", &BackendFaults::default()).await;
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        last_run_start(mesh, &servers).is_some()
    })
    .await;
    let output = run_move_tool(&mesh, &["stop", "tracker"]).await;
    assert!(output.text.contains("taken back at"), "{}", output.text);
    let stopped_at = wall_clock();
    let failed = send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        all_nodes_in_state(mesh, "taken-back").await
    })
    .await;
    assert_eq!(failed, 0);
    let known_at = wall_clock();
    assert!(stopped_at.elapsed(known_at) <= MARK_PROPAGATION_LIMIT);
    send_requests_for(&mesh, TimeBudget::from_secs(1)).await;
    assert!(last_run_start(&mesh, &servers).expect("some ran") < known_at);
}

#[actix_web::test]
async fn burn_report_shows_the_spend_of_a_slow_version_and_nodes_without_an_answer() {
    let mut mesh = start().await;
    let slow = faults(FaultAction::Delay(SLOW_MILLIS));
    start_move(&mut mesh, "60s", &slow).await;
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        all_nodes_in_state(mesh, "taken-back").await
    })
    .await;
    let addresses = mesh.node_names().into_iter().map(|node| {
        let addresses = mesh.node(&node).expect("exists").addresses();
        addresses.operators.to_string()
    });
    let addresses: Vec<String> = addresses.chain([UNREACHABLE_ADDRESS.to_owned()]).collect();
    let page = mesh.directory().join("burn.html");
    let page_path = page.display().to_string();
    let mut args = vec!["report", "burn", "--html", &page_path];
    for address in &addresses {
        args.extend(["--node", address]);
    }
    let output = mesh.run_tool(&args).await.expect("the tool runs");
    assert_eq!(output.exit_code, Some(0), "{}", output.text);
    let unheard = format!("not heard: node {UNREACHABLE_ADDRESS}");
    for wanted in [
        "3 nodes answered",
        "version v2:",
        "move 1:",
        "data centre dc",
        &unheard,
    ] {
        assert!(output.text.contains(wanted), "{wanted}: {}", output.text);
    }
    let page = std::fs::read_to_string(page).expect("was written");
    assert!(page.contains("<svg"), "{page}");
    assert!(page.contains(UNREACHABLE_ADDRESS), "{page}");
    for outside in ["<script", "<link", "src=", "url("] {
        assert!(!page.contains(outside), "{outside}: {page}");
    }
}

#[actix_web::test]
async fn move_stays_done_when_a_cut_off_data_centre_returns_with_a_mark() {
    let mut mesh = start().await;
    start_move(&mut mesh, "25s", &BackendFaults::default()).await;
    mesh.partition(1, 3, ProxyAction::Cut)
        .await
        .expect("is cut");
    mesh.partition(2, 3, ProxyAction::Cut)
        .await
        .expect("is cut");
    mesh.partition_platform(3, ProxyAction::Cut)
        .await
        .expect("is cut");
    let operators = mesh.node("dc3-n1").expect("exists").addresses().operators;
    let client = JsonClient::new();
    let stopped: serde_json::Value = client
        .post(operators, "/v1/moves/tracker/stop", &())
        .await
        .expect("is stopped there");
    assert_eq!(stopped["mark"]["cause"], "operator");

    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        let states = move_states(mesh).await;
        states[..2].iter().all(|state| state == "\"done\"")
    })
    .await;
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    assert!(output.text.contains(": done at"), "{}", output.text);
    assert!(output.text.contains("not heard: dc3"), "{}", output.text);

    mesh.heal().await.expect("is healed");
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        let is_done = all_nodes_in_state(mesh, "done").await;
        is_done && all_nodes_marked(mesh).await
    })
    .await;
    let deadline = wall_clock().after(WAIT_LIMIT);
    loop {
        let output = run_move_tool(&mesh, &["status", "tracker"]).await;
        assert!(output.text.contains(": done at"), "{}", output.text);
        if output.text.contains("marked since") {
            break;
        }
        assert!(!deadline.has_passed(wall_clock()), "{}", output.text);
    }
    let failed = send_requests_for(&mesh, TimeBudget::from_secs(1)).await;
    assert_eq!(failed, 0);
}

#[actix_web::test]
async fn start_whose_answer_was_lost_after_the_write_is_reported_as_started() {
    let mut mesh = start().await;
    let lost = PlatformFaults {
        lose_answers: LostResponses {
            next: 1,
            key_prefix: "local/move/".to_owned(),
            ..LostResponses::default()
        },
        ..PlatformFaults::default()
    };
    let platform = mesh.platform();
    platform.set_faults(&lost).await.expect("are set");
    let args = [
        "start", "tracker", "--from", "v1", "--to", "v2", "--by", "60s",
    ];
    let output = run_move_tool(&mesh, &args).await;
    assert_eq!(output.exit_code, Some(0), "{}", output.text);
    assert!(output.text.contains("move 1 of"), "{}", output.text);
    let output = run_move_tool(&mesh, &["status", "tracker"]).await;
    assert!(output.text.contains("move 1 of"), "{}", output.text);
}

fn new_version_share_ppm(moves: &serde_json::Value) -> u32 {
    let share = moves[0]["routes"]["reads"]["share"].as_str();
    let share = share.and_then(|text| text.parse::<ShareRatio>().ok());
    share.unwrap_or_default().as_ppm()
}

#[actix_web::test]
async fn good_version_is_done_in_time_while_the_platform_is_away_and_a_third_of_the_nodes_die() {
    let mut mesh = start().await;
    start_move(&mut mesh, "35s", &BackendFaults::default()).await;
    mesh.disconnect_platform().await.expect("is cut");
    let node = mesh.node_mut("dc2-n1").expect("exists");
    node.process().expect("runs").kill();
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        let moves = node_moves(mesh, "dc1-n1").await;
        // Printed only when the test fails.
        println!("{moves}");
        new_version_share_ppm(&moves) >= HALF_PPM
    })
    .await;
    mesh.start_node("dc2-n1").await.expect("starts again");
    mesh.heal().await.expect("is healed");
    send_requests_until(&mesh, WAIT_LIMIT, async |mesh| {
        let moves = node_moves(mesh, "dc1-n1").await;
        // Printed only when the test fails.
        println!("{moves}");
        moves[0]["record"]["state"] == "done"
    })
    .await;
    let moves = node_moves(&mesh, "dc1-n1").await;
    let record = &moves[0]["record"];
    let done_at = record["statement"]["decided_at"].as_u64();
    assert!(done_at <= record["by"].as_u64(), "{moves}");
}
