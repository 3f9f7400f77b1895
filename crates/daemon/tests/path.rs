//! The whole path: answers are published, and a request reaches a backend server from every node.

use bronzelb_emulator::{
    http::CallRequest,
    mesh::{BackendSpec, LocalMesh},
};
use bronzelb_kernel::clock::TimeBudget;

const LIMIT: TimeBudget = TimeBudget::from_secs(20);

const FIRST_ANSWERS: &str = "\
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

#[actix_web::test]
async fn request_reaches_a_backend_server_from_every_node_and_a_change_is_in_force() {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .start()
        .await
        .expect("the mesh starts");
    let nodes = mesh.node_names();
    mesh.publish(FIRST_ANSWERS).await.expect("is accepted");
    mesh.wait_version(1, LIMIT).await.expect("is in force");
    mesh.add_backend(&nodes[0], &BackendSpec::new("tracker", "v1"))
        .await
        .expect("the backend server starts");
    mesh.wait_backends("tracker", 1, LIMIT)
        .await
        .expect("is known everywhere");

    for node in &nodes {
        let request = CallRequest::get(format!("/predictions/{node}"));
        let answer = mesh.call(node, &request).await.expect("an answer");
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, 200, "{node}: {body}");
        assert_eq!(answer.headers["x-bronzelb-run"], "ran");
        assert_eq!(answer.headers["x-bronzelb-config"], "1");
        assert!(body.contains(&request.target), "{node}: {body}");
    }

    let second = FIRST_ANSWERS.replace("/predictions", "/landings");
    mesh.publish(&second).await.expect("is accepted");
    mesh.wait_version(2, LIMIT).await.expect("is in force");
    for node in &nodes {
        let answer = mesh.call(node, &CallRequest::get("/landings/1")).await;
        assert_eq!(answer.expect("an answer").status, 200, "{node}");
        let answer = mesh.call(node, &CallRequest::get("/predictions/1")).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 404, "{node}");
        assert_eq!(answer.headers["x-bronzelb-run"], "not-run");
    }
}
