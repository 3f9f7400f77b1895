//! End-to-end path: a configuration is published, and requests reach a backend server from every
//! node.

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
async fn requests_from_every_node_reach_a_backend_server_and_follow_a_route_change() {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .start()
        .await
        .expect("the mesh starts");
    let nodes = mesh.node_names();
    mesh.publish(FIRST_ANSWERS).await.expect("is accepted");
    mesh.wait_version(1, LIMIT).await.expect("becomes active");
    mesh.add_backend(&nodes[0], &BackendSpec::new("tracker", "v1"))
        .await
        .expect("the backend server starts");
    mesh.wait_backends("tracker", 1, LIMIT)
        .await
        .expect("every node knows it");

    for node in &nodes {
        let request = CallRequest::get(format!("/predictions/{node}"));
        let response = mesh.call(node, &request).await.expect("the node responds");
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, 200, "{node}: {body}");
        assert_eq!(response.headers["x-bronzelb-run"], "ran");
        assert_eq!(response.headers["x-bronzelb-config"], "1");
        assert!(body.contains(&request.target), "{node}: {body}");
    }

    let updated = FIRST_ANSWERS.replace("/predictions", "/landings");
    mesh.publish(&updated).await.expect("is accepted");
    mesh.wait_version(2, LIMIT).await.expect("becomes active");
    for node in &nodes {
        let response = mesh.call(node, &CallRequest::get("/landings/1")).await;
        assert_eq!(response.expect("the node responds").status, 200, "{node}");
        let response = mesh.call(node, &CallRequest::get("/predictions/1")).await;
        let response = response.expect("the node responds");
        assert_eq!(response.status, 404, "{node}");
        assert_eq!(response.headers["x-bronzelb-run"], "not-run");
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
async fn requests_from_every_node_get_their_own_response_and_follow_a_service_change()
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
            let response = mesh.call(&node, &request).await?;
            assert_eq!(response.status, 200, "{node}: {response:?}");
            assert!(response.is_response_to(&request), "{node}: {response:?}");
            assert_eq!(response.response_body()?.service, service, "{node}");
        }
    }

    mesh.publish(&answers("archive")).await?;
    mesh.wait_version(2, LIMIT).await?;
    for node in mesh.node_names() {
        let request = CallRequest::get(format!("/positions/b7?moved={node}"));
        let response = mesh.call(&node, &request).await?;
        assert_eq!(
            response.response_body()?.service,
            "archive",
            "{node}: {response:?}"
        );
    }
    Ok(())
}
