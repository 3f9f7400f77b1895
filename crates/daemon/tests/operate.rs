//! Operators' CLI commands, run against a mesh of real processes.

use bronzelb_emulator::mesh::{BackendSpec, LocalMesh};
use bronzelb_kernel::clock::TimeBudget;
use serde_json::Value;

const LIMIT: TimeBudget = TimeBudget::from_secs(20);

const ANSWERS: &str = "\
mesh: local
data_centres:
  dc1: {latency: {dc2: 500us, dc3: 500us}}
  dc2: {latency: {dc3: 500us}}
  dc3: {}
services:
  tracker: {slots: 12, connections: 110, report_format: json-load}
routes:
  predictions: {path: /predictions, methods: [GET], service: tracker}
";

/// Returns the options that name the operator listener of every node.
fn node_args(mesh: &LocalMesh) -> Vec<String> {
    let mut args = Vec::new();
    for name in mesh.node_names() {
        let node = mesh.node(&name).expect("exists");
        args.push("--node".to_owned());
        args.push(node.addresses().operators.to_string());
    }
    args
}

async fn run_tool(mesh: &LocalMesh, args: &[&str], nodes: &[String]) -> (Option<i32>, String) {
    let nodes = nodes.iter().map(String::as_str);
    let args: Vec<_> = args.iter().copied().chain(nodes).collect();
    let output = mesh.run_tool(&args).await.expect("the tool runs");
    (output.exit_code, output.text)
}

#[actix_web::test]
async fn publish_waits_until_every_node_has_the_version_and_status_shows_it() {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .backend(BackendSpec::new("tracker", "v1"))
        .start()
        .await
        .expect("the mesh starts");
    let platform = mesh.platform().address().to_string();
    let path = mesh.directory().join("trial.yaml");
    std::fs::write(&path, ANSWERS).expect("is writable");
    let path = path.to_str().expect("is UTF-8").to_owned();
    let nodes = node_args(&mesh);

    let publish = ["publish", &path, "--platform", &platform, "--wait"];
    let (code, text) = run_tool(&mesh, &publish, &nodes).await;
    assert_eq!(code, Some(0), "{text}");
    for name in mesh.node_names() {
        let status = mesh.status(&name).await.expect("answers");
        assert_eq!(status.version_number(), 1, "{name}");
    }

    mesh.wait_backends("tracker", 3, LIMIT)
        .await
        .expect("are known");
    let status = ["status", "--platform", &platform, "--output", "json"];
    let (code, text) = run_tool(&mesh, &status, &nodes).await;
    assert_eq!(code, Some(0), "{text}");
    let document: Value = serde_json::from_str(&text).expect("is JSON");
    assert_eq!(document["accepted"]["number"], 1);
    for data_centre in ["dc1", "dc2", "dc3"] {
        let summary = &document["data_centres"][data_centre];
        assert_eq!(summary["heard"], 1, "{text}");
        assert_eq!(summary["lowest"], 1, "{text}");
    }

    let (code, text) = run_tool(&mesh, &["diff", &path, "--platform", &platform], &[]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.starts_with("every proxy: no change\n"), "{text}");
}

#[actix_web::test]
async fn status_names_nodes_that_do_not_respond() {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .start()
        .await
        .expect("the mesh starts");
    mesh.publish(ANSWERS).await.expect("is accepted");
    mesh.wait_version(1, LIMIT).await.expect("becomes active");
    let nodes = node_args(&mesh);
    mesh.stop_node("dc3-n1", LIMIT).await.expect("stops");
    let (code, text) = run_tool(&mesh, &["status"], &nodes).await;
    assert_eq!(code, Some(0), "{text}");
    let stopped = &nodes[5];
    let expected = format!("  node {stopped} does not answer: ");
    assert!(text.contains(&expected), "{text}");
}
