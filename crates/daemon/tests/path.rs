//! The whole path: answers, platform, nodes in three data centres, callers and backend servers.

use bronzelb_emulator::{
    http::CallRequest,
    mesh::{BackendSpec, LocalMesh, MeshAnswers, RouteAnswers},
};
use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

const SOON: TimeBudget = TimeBudget::from_secs(20);

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
    mesh.wait_version(1, SOON).await?;
    mesh.wait_backends("tracker", 3, SOON).await?;
    mesh.wait_backends("archive", 1, SOON).await?;

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
    mesh.wait_version(2, SOON).await?;
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
