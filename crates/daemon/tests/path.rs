//! The whole path: answers are published, and a request reaches a backend server from every node.

use bronzelb_emulator::{
    http::CallRequest,
    mesh::{BackendSpec, LocalMesh, MeshAnswers, RouteAnswers},
};
use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

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

fn answers(positions_service: &str) -> String {
    MeshAnswers::new(3)
        .service("tracker")
        .service("archive")
        .route(
            "positions",
            RouteAnswers::new("/positions", positions_service),
        )
        .route("archive", RouteAnswers::new("/archive", "archive"))
        .to_string()
}

#[actix_web::test]
async fn request_entering_anywhere_gets_its_own_answer_and_a_change_is_in_force_everywhere()
-> Result<(), MeshError> {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .backend(BackendSpec::new("tracker", "v1"))
        .start()
        .await?;
    mesh.add_backend("dc2-n1", &BackendSpec::new("archive", "v1"))
        .await?;
    mesh.publish(&answers("tracker")).await?;
    mesh.wait_version(1, LIMIT).await?;
    mesh.wait_backends("tracker", 3, LIMIT).await?;
    mesh.wait_backends("archive", 1, LIMIT).await?;

    for (service, path) in [("tracker", "/positions"), ("archive", "/archive")] {
        for node in mesh.node_names() {
            let request = CallRequest::get(format!("{path}/b7?from={node}"));
            let answer = mesh.call(&node, &request).await?;
            assert_eq!(answer.status, 200, "{node}: {answer:?}");
            assert!(answer.is_answer_to(&request), "{node}: {answer:?}");
            assert_eq!(answer.answer_body()?.service, service, "{node}");
        }
    }

    mesh.publish(&answers("archive")).await?;
    mesh.wait_version(2, LIMIT).await?;
    for node in mesh.node_names() {
        let request = CallRequest::get(format!("/positions/b7?moved={node}"));
        let answer = mesh.call(&node, &request).await?;
        assert_eq!(
            answer.answer_body()?.service,
            "archive",
            "{node}: {answer:?}"
        );
    }
    Ok(())
}
