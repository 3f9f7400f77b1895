use actix_web::{HttpResponse, Responder, web};
use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    member::MemberState,
};

use crate::{callers::error_response, node::NodeState, operators::node_status::node_status};

/// Adds the endpoints for health, readiness, status and metrics.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/health", web::get().to(health))
        .route("/v1/ready", web::get().to(ready))
        .route("/v1/status", web::get().to(status))
        .route("/v1/metrics", web::get().to(metrics));
}

async fn health() -> impl Responder {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: web::Data<NodeState>) -> impl Responder {
    match state.member_state() {
        MemberState::Serving => HttpResponse::Ok().body("ready\n"),
        MemberState::Draining => {
            let error = MeshError::new(ErrorKind::Draining, "the node is shutting down");
            error_response(&error, None)
        }
        _ => {
            let error = MeshError::new(ErrorKind::NotReady, "the node has no configuration yet");
            error_response(&error, None)
        }
    }
}

async fn status(state: web::Data<NodeState>) -> impl Responder {
    HttpResponse::Ok().json(node_status(&state))
}

/// Renders the metrics in the Prometheus text format.
pub(crate) async fn metrics(state: web::Data<NodeState>) -> impl Responder {
    let traffic = &state.peer_traffic;
    let mut text = state.metric_sink.render();
    text += &format!("bronzelb_peer_bytes_sent {}\n", traffic.sent());
    text += &format!("bronzelb_peer_bytes_received {}\n", traffic.received());
    text += &format!("bronzelb_client_memory_bytes {}\n", state.holding.held());
    HttpResponse::Ok().body(text)
}
