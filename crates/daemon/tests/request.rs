//! Request handling in a mesh of real processes under faults.
//!
//! Compares the results reported to callers with the journals of the backend servers, which write
//! an entry before each run and survive a crash.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bronzelb_emulator::{
    backend::{BackendFaults, FaultAction, FaultRule, JournalEntry},
    http::{CallRequest, CallResponse},
    mesh::{BackendSpec, LocalMesh},
    platform::PlatformFaults,
    proxy::{ProxyAction, ProxyRule},
};
use bronzelb_kernel::clock::TimeBudget;
use futures::future::join_all;

const WAIT_TIMEOUT: TimeBudget = TimeBudget::from_secs(20);
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(50);
const NODES: [&str; 3] = ["dc1-n1", "dc2-n1", "dc3-n1"];
const NOT_RUN: &str = "not-run";
const RAN: &str = "ran";

const ANSWERS: &str = "
mesh: local
crews: [ground]
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
    rollout: {first_share: 1%, min_requests: 100, hold: 30s}
  routes:
    timeout: 3s
    objective: {success: 99.9%, latency: 250ms}
services:
  work: {}
routes:
  reads: {path: /reads, methods: [GET], service: work, priority: urgent}
  archive: {path: /archive, methods: [GET], service: work, priority: deferrable}
  orders: {path: /orders, methods: [POST], service: work, priority: urgent, idempotent: false}
";

async fn start(spec: BackendSpec) -> LocalMesh {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .backend(spec)
        .start()
        .await
        .expect("the mesh starts");
    mesh.publish(ANSWERS).await.expect("the answers are valid");
    mesh.wait_version(1, WAIT_TIMEOUT)
        .await
        .expect("a version in force");
    mesh.wait_backends("work", 3, WAIT_TIMEOUT)
        .await
        .expect("three servers are known");
    mesh
}

async fn set_faults(mesh: &LocalMesh, rules: &[FaultRule]) {
    for name in mesh.backend_names() {
        let faults = BackendFaults::from_rules(rules.to_vec());
        mesh.set_backend_faults(&name, &faults)
            .await
            .expect("the server takes faults");
    }
}

fn keyed_order(key: &str) -> CallRequest {
    CallRequest::post("/orders", key.to_owned()).with_key(key)
}

/// Returns the reported run state, or an empty string if the call failed.
fn reported_state(response: &Option<CallResponse>) -> &str {
    response.as_ref().map_or("", CallResponse::run_state)
}

async fn call(mesh: &LocalMesh, node: &str, request: &CallRequest) -> Option<CallResponse> {
    mesh.call(node, request).await.ok()
}

fn kill_node(mesh: &mut LocalMesh, name: &str) {
    let node = mesh.node_mut(name).expect("a node");
    node.process().expect("a process").kill();
}

fn runs_by(runs: &[JournalEntry], name: impl Fn(&JournalEntry) -> &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for run in runs {
        *counts.entry(name(run).to_owned()).or_insert(0) += 1;
    }
    counts
}

#[actix_web::test]
async fn concurrent_requests_receive_their_own_complete_responses() {
    let mesh = start(BackendSpec::new("work", "v1").with_slots(50)).await;
    let rules = [
        FaultRule::new(FaultAction::CutBody).with_share(0.05),
        FaultRule::new(FaultAction::WrongRequestId).with_share(0.05),
        FaultRule::new(FaultAction::DoubleAnswer).with_share(0.05),
        FaultRule::new(FaultAction::CloseAfterRun).with_share(0.02),
        FaultRule::new(FaultAction::Delay(40)).with_share(0.05),
    ];
    set_faults(&mesh, &rules).await;
    let mut served = 0;
    for round in 0..10 {
        let requests: Vec<CallRequest> = (0..200)
            .map(|number| {
                CallRequest::get(format!("/reads/{round}/{number}"))
                    .with_header("x-emulator-bytes", (number * 37).to_string())
            })
            .collect();
        let calls = requests.iter().enumerate().map(|(number, request)| {
            let mesh = &mesh;
            async move { call(mesh, NODES[number % NODES.len()], request).await }
        });
        for (request, response) in requests.iter().zip(join_all(calls).await) {
            let response = response.expect("a node responds to every request");
            if response.status == 200 {
                assert!(
                    response.is_response_to(request),
                    "{request:?} got {response:?}"
                );
                served += 1;
            }
        }
    }
    assert!(served > 1_000, "{served} of 2000 were served");
}

#[actix_web::test]
async fn request_reported_as_not_run_did_not_run_under_any_server_fault() {
    let mesh = start(BackendSpec::new("work", "v1")).await;
    let actions = [
        FaultAction::Delay(20),
        FaultAction::Fail,
        FaultAction::FailFast,
        FaultAction::Shed,
        FaultAction::CutBody,
        FaultAction::WrongRequestId,
        FaultAction::DoubleAnswer,
        FaultAction::CloseBeforeRun,
        FaultAction::CloseAfterRun,
        FaultAction::Freeze,
    ];
    let mut responses = Vec::new();
    for action in actions {
        let share = if action == FaultAction::Shed {
            1.0
        } else {
            0.6
        };
        set_faults(&mesh, &[FaultRule::new(action).with_share(share)]).await;
        let requests: Vec<CallRequest> = (0..30)
            .map(|_| CallRequest::post("/orders", "x").with_deadline_ms(400))
            .collect();
        let calls = requests.iter().enumerate().map(|(number, request)| {
            let mesh = &mesh;
            async move { call(mesh, NODES[number % NODES.len()], request).await }
        });
        responses.extend(join_all(calls).await);
    }
    let runs = mesh.runs().expect("readable journals");
    let runs = runs_by(&runs, |run| &run.request);
    let responses: Vec<CallResponse> = responses.into_iter().flatten().collect();
    let count_reported = |state| {
        responses
            .iter()
            .filter(|response| response.run_state() == state)
            .count()
    };
    assert!(
        count_reported(NOT_RUN) > 0 && count_reported(RAN) > 0,
        "{responses:?}"
    );
    for response in responses {
        let count = runs.get(response.header("x-bronzelb-request")).copied();
        assert!(count.unwrap_or(0) <= 1, "ran twice: {response:?}");
        match response.run_state() {
            NOT_RUN => assert_eq!(count, None, "{response:?}"),
            RAN if response.status == 200 => assert_eq!(count, Some(1), "{response:?}"),
            _ => {}
        }
    }
}

#[actix_web::test]
async fn request_reported_as_not_run_did_not_run_while_nodes_and_servers_crash_or_freeze() {
    let mut mesh = start(BackendSpec::new("work", "v1").with_service_time("200ms")).await;
    let mut responses = Vec::new();
    for round in 0..4 {
        let victim = NODES[1 + round % 2];
        let calls = (0..36).map(|_| {
            let request = CallRequest::post("/orders", "x").with_deadline_ms(1_500);
            let client = bronzelb_emulator::http::CallerClient::new();
            let address = mesh.node(NODES[0]).expect("a node").addresses().callers;
            actix_web::rt::spawn(async move { client.call(address, &request).await.ok() })
        });
        let calls: Vec<_> = calls.collect();
        tokio::time::sleep(IN_FLIGHT_DELAY * 2).await;
        match round {
            0 | 1 => kill_node(&mut mesh, victim),
            2 => {
                let process = mesh.node_mut(victim).expect("a node").process();
                process
                    .expect("a process")
                    .pause()
                    .expect("the process pauses");
            }
            _ => {
                let names = mesh.backend_names();
                for name in &names[1..] {
                    mesh.backend_mut(name).expect("a server").process().kill();
                }
            }
        }
        for response in join_all(calls).await {
            responses.push(response.expect("the call ends"));
        }
        match round {
            0 | 1 => mesh.start_node(victim).await.expect("it starts again"),
            2 => {
                let process = mesh.node_mut(victim).expect("a node").process();
                process
                    .expect("a process")
                    .resume()
                    .expect("the process resumes");
            }
            _ => {}
        }
        if round < 3 {
            mesh.wait_backends("work", 3, WAIT_TIMEOUT)
                .await
                .expect("all servers are known again");
        }
    }
    let runs = mesh.runs().expect("readable journals");
    let runs = runs_by(&runs, |run| &run.request);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    for response in responses
        .iter()
        .filter(|response| reported_state(response) == NOT_RUN)
    {
        let response = response.as_ref().expect("the call got a response");
        let id = response.header("x-bronzelb-request");
        assert!(!runs.contains_key(id), "ran: {response:?}");
    }
    assert!(
        responses
            .iter()
            .any(|response| reported_state(response) == RAN)
    );
}

#[actix_web::test]
async fn keyed_request_runs_at_most_once_across_resends_to_all_nodes() {
    let mut mesh = start(BackendSpec::new("work", "v1").with_service_time("100ms")).await;
    let lose_response_rule = ProxyRule::new(ProxyAction::LoseAnswer).with_listener("platform");
    let mut keys = Vec::new();
    for round in 0..6 {
        let key = format!("order-{round}");
        match round {
            1 | 2 => mesh
                .add_rule(lose_response_rule.clone().with_next(3))
                .await
                .expect("a rule"),
            3 => mesh
                .partition(1, 2, ProxyAction::Cut)
                .await
                .expect("a partition"),
            4 => mesh
                .partition_platform(1, ProxyAction::Stall)
                .await
                .expect("an outage"),
            _ => mesh.heal().await.expect("no rules"),
        }
        for _ in 0..3 {
            let calls = NODES.iter().map(|node| {
                let request = keyed_order(&key).with_deadline_ms(1_500);
                let mesh = &mesh;
                async move { call(mesh, node, &request).await }
            });
            join_all(calls).await;
        }
        keys.push(key);
    }
    let runs = mesh.runs().expect("readable journals");
    let runs = runs_by(&runs, |run| &run.key);
    for key in &keys {
        assert!(runs.get(key).copied().unwrap_or(0) <= 1, "{runs:?}");
    }
    assert_eq!(runs.get("order-0"), Some(&1), "{runs:?}");
    assert_eq!(runs.get("order-5"), Some(&1), "{runs:?}");
}

#[actix_web::test]
async fn frozen_or_crashed_key_holder_never_causes_a_second_run() {
    let mut mesh = start(BackendSpec::new("work", "v1").with_service_time("300ms")).await;
    for (key, is_killed) in [("frozen", false), ("killed", true)] {
        let address = mesh.node(NODES[0]).expect("a node").addresses().callers;
        let first = {
            let request = keyed_order(key).with_deadline_ms(1_000);
            let client = bronzelb_emulator::http::CallerClient::new();
            actix_web::rt::spawn(async move { client.call(address, &request).await.ok() })
        };
        tokio::time::sleep(IN_FLIGHT_DELAY).await;
        let holder = mesh.node_mut(NODES[0]).expect("a node");
        if is_killed {
            holder.process().expect("a process").kill();
        } else {
            let process = holder.process().expect("a process");
            process.pause().expect("the process pauses");
        }
        for node in &NODES[1..] {
            let response = call(&mesh, node, &keyed_order(key).with_deadline_ms(1_200)).await;
            assert_ne!(reported_state(&response), "", "the node responds");
        }
        if is_killed {
            mesh.start_node(NODES[0]).await.expect("it starts again");
            mesh.wait_version(1, WAIT_TIMEOUT)
                .await
                .expect("a version in force");
        } else {
            let process = mesh.node_mut(NODES[0]).expect("a node").process();
            process
                .expect("a process")
                .resume()
                .expect("the process resumes");
        }
        first.await.expect("the call ends");
        for node in NODES {
            call(&mesh, node, &keyed_order(key).with_deadline_ms(1_200)).await;
        }
        let runs = mesh.runs().expect("readable journals");
        let runs = runs_by(&runs, |run| &run.key);
        assert!(runs.get(key).copied().unwrap_or(0) <= 1, "{runs:?}");
    }
}

#[actix_web::test]
async fn platform_outage_keeps_tickets_working_and_rejects_keys_as_not_run() {
    let mut mesh = start(BackendSpec::new("work", "v1")).await;
    let faults = PlatformFaults {
        away: true,
        ..PlatformFaults::default()
    };
    mesh.platform()
        .set_faults(&faults)
        .await
        .expect("an outage");
    for (number, node) in NODES.iter().enumerate() {
        let own = call(&mesh, node, &keyed_order(&format!("own-{number}"))).await;
        let own = own.expect("the node responds");
        assert_eq!((own.status, own.run_state()), (503, NOT_RUN), "{own:?}");
        assert_ne!(own.header("retry-after"), "");
        let issued = call(&mesh, node, &CallRequest::post("/.bronzelb/ticket", "")).await;
        let issued = issued.expect("the node responds").body;
        let issued: BTreeMap<String, serde_json::Value> =
            serde_json::from_slice(&issued).expect("a JSON object");
        let ticket = issued["ticket"].as_str().expect("a string").to_owned();
        for node in NODES {
            let response = call(&mesh, node, &keyed_order(&ticket))
                .await
                .expect("a response");
            assert_eq!(
                (response.status, response.run_state()),
                (200, RAN),
                "{response:?}"
            );
        }
        let runs = mesh.runs().expect("readable journals");
        let runs = runs_by(&runs, |run| &run.key);
        assert_eq!(runs.get(&ticket), Some(&1), "{runs:?}");
    }
}

#[actix_web::test]
async fn request_that_crashes_servers_crashes_at_most_two() {
    let mut mesh = start(BackendSpec::new("work", "v1")).await;
    for _ in 0..2 {
        let spec = BackendSpec::new("work", "v1");
        mesh.add_backend(NODES[0], &spec).await.expect("a server");
    }
    mesh.wait_backends("work", 5, WAIT_TIMEOUT)
        .await
        .expect("five servers");
    let mut reached_count = 0;
    for round in 0..4 {
        for node in NODES {
            let crashing = CallRequest::get("/reads/crashing").with_header("x-emulator-crash", "1");
            let harmless = CallRequest::get("/reads/harmless");
            let (crash_response, harmless_response) =
                futures::join!(call(&mesh, node, &crashing), call(&mesh, node, &harmless));
            let crash_response = crash_response.expect("the node responds");
            reached_count += usize::from(crash_response.run_state() != NOT_RUN);
            assert_ne!(crash_response.status, 200);
            harmless_response.expect("the node responds");
        }
        if round == 0 {
            assert!(reached_count > 0, "the request ran");
        }
    }
    let mut running_servers = 0;
    for name in mesh.backend_names() {
        let process = mesh.backend_mut(&name).expect("a server").process();
        running_servers += usize::from(process.is_running());
    }
    assert!(
        running_servers >= 3,
        "{running_servers} of 5 servers are left"
    );
    for node in NODES {
        let harmless = call(&mesh, node, &CallRequest::get("/reads/harmless")).await;
        assert_eq!(harmless.expect("the node responds").status, 200);
    }
}

#[actix_web::test]
async fn rolling_shutdown_of_nodes_and_servers_interrupts_no_request() {
    let mut mesh = start(BackendSpec::new("work", "v1").with_service_time("400ms")).await;
    for victim in NODES {
        let entry = NODES.iter().find(|node| **node != victim).expect("another");
        let mut calls = Vec::new();
        for node in [entry, victim] {
            let address = mesh.node(node).expect("a node").addresses().callers;
            for number in 0..12 {
                let request = CallRequest::get(format!("/reads/{number}"));
                let client = bronzelb_emulator::http::CallerClient::new();
                calls.push(actix_web::rt::spawn(async move {
                    client.call(address, &request).await
                }));
            }
        }
        tokio::time::sleep(IN_FLIGHT_DELAY * 2).await;
        mesh.stop_node(victim, WAIT_TIMEOUT).await.expect("it ends");
        for response in join_all(calls).await {
            let response = response
                .expect("the call ends")
                .expect("a complete response");
            assert_eq!(response.status, 200, "{response:?}");
        }
        mesh.start_node(victim).await.expect("it starts again");
        mesh.wait_version(1, WAIT_TIMEOUT)
            .await
            .expect("a version in force");
        mesh.wait_backends("work", 3, WAIT_TIMEOUT)
            .await
            .expect("all servers are known again");
    }
    for name in mesh.backend_names() {
        let address = mesh.node(NODES[0]).expect("a node").addresses().callers;
        let mut calls = Vec::new();
        for number in 0..12 {
            let request = CallRequest::get(format!("/reads/{number}"));
            let client = bronzelb_emulator::http::CallerClient::new();
            calls.push(actix_web::rt::spawn(async move {
                client.call(address, &request).await
            }));
        }
        tokio::time::sleep(IN_FLIGHT_DELAY * 2).await;
        let process = mesh.backend_mut(&name).expect("a server").process();
        process.terminate().expect("a signal");
        process.wait(WAIT_TIMEOUT).await.expect("it ends");
        for response in join_all(calls).await {
            let response = response
                .expect("the call ends")
                .expect("a complete response");
            assert_eq!(response.status, 200, "{response:?}");
        }
        let node = mesh.backend(&name).expect("a server").node().to_owned();
        let spec = BackendSpec::new("work", "v1").with_service_time("400ms");
        mesh.add_backend(&node, &spec).await.expect("a server");
        mesh.wait_backends("work", 3, WAIT_TIMEOUT)
            .await
            .expect("all servers are known again");
    }
}

#[actix_web::test]
async fn rejected_requests_get_their_response_long_before_the_deadline() {
    let spec = BackendSpec::new("work", "v1")
        .with_slots(1)
        .with_service_time("300ms");
    let mesh = start(spec).await;
    let deadline = Duration::from_secs(3);
    let calls = (0..150).map(|number| {
        let mesh = &mesh;
        async move {
            let request = CallRequest::get(format!("/archive/{number}")).with_deadline_ms(3_000);
            let started = Instant::now();
            let response = call(mesh, NODES[number % NODES.len()], &request).await;
            (response.expect("the node responds"), started.elapsed())
        }
    });
    let mut rejected = 0;
    for (response, took) in join_all(calls).await {
        if response.run_state() == NOT_RUN {
            rejected += 1;
            assert!(took < deadline / 2, "rejected after {took:?}: {response:?}");
            assert_ne!(
                response.header("x-bronzelb-retry-after-ms"),
                "",
                "{response:?}"
            );
        }
    }
    assert!(rejected > 0);
}

#[actix_web::test]
async fn fast_failing_server_that_reports_healthy_gets_little_traffic() {
    let mesh = start(BackendSpec::new("work", "v1")).await;
    let names = mesh.backend_names();
    let failing = BackendFaults::from_rules([FaultRule::new(FaultAction::FailFast)]);
    mesh.set_backend_faults(&names[0], &failing)
        .await
        .expect("the server takes faults");
    let mut failed = 0;
    for number in 0..300 {
        let request = CallRequest::get(format!("/reads/{number}"));
        let response = call(&mesh, NODES[0], &request).await.expect("a response");
        failed += usize::from(response.status != 200);
    }
    let tally = mesh.tally(&names[0]).await.expect("a tally");
    assert!(tally.totals.received < 60, "{:?}", tally.totals);
    assert!(failed < 15, "{failed} of 300 failed");
}

#[actix_web::test]
async fn deep_chain_does_not_multiply_attempts() {
    let mesh = start(BackendSpec::new("work", "v1").with_slots(200)).await;
    // A failing call fails on every server, so that retries cannot succeed.
    let rule = FaultRule::new(FaultAction::Fail).with_path("/reads/failing");
    set_faults(&mesh, &[rule]).await;
    let chain: Vec<String> = (1..20).map(|depth| format!("/reads/{depth}")).collect();
    let chain = chain.join(",");
    let chains = [
        format!("{chain},/reads/working"),
        format!("{chain},/reads/failing"),
    ];
    let calls = 120;
    let mut served = 0;
    for round in 0..20 {
        let batch = (0..calls / 20).map(|number| {
            let mesh = &mesh;
            let chain = chains[number % 2].as_str();
            let request = CallRequest::get("/reads/0").with_header("x-emulator-chain", chain);
            async move { call(mesh, NODES[(round + number) % NODES.len()], &request).await }
        });
        let responses = join_all(batch).await;
        served += responses
            .iter()
            .flatten()
            .filter(|response| response.status == 200)
            .count();
    }
    let runs = mesh.runs().expect("readable journals").len();
    let ratio = runs as f64 / (calls * 21) as f64;
    assert!(ratio < 1.2, "{ratio} runs for each call");
    assert!(served * 10 > calls * 4, "{served} of {calls} were served");
}
