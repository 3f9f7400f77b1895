use actix_web::{HttpResponse, Responder, web};
use bronzelb_kernel::{
    error::MeshError,
    ids::{BackendName, SlotCount},
};
use serde::Serialize;
use slog::info;

use crate::{
    backends::{BackendAnnouncement, LEASE_DURATION},
    callers::error_response,
    log::EventName,
    node::NodeState,
};

#[derive(Debug, Serialize)]
struct LeaseResponse {
    lease_ms: u64,
}

/// Adds the endpoints for announcements of backend servers.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config.service(
        web::resource("/v1/backends/{name}")
            .route(web::put().to(announce))
            .route(web::delete().to(remove)),
    );
}

async fn announce(
    state: web::Data<NodeState>,
    name: web::Path<String>,
    announcement: web::Json<BackendAnnouncement>,
) -> impl Responder {
    match register_backend(&state, &name, announcement.into_inner()) {
        Ok(()) => HttpResponse::Ok().json(LeaseResponse {
            lease_ms: LEASE_DURATION.as_millis(),
        }),
        Err(error) => error_response(&error, None),
    }
}

fn register_backend(
    state: &NodeState,
    name: &str,
    announcement: BackendAnnouncement,
) -> Result<(), MeshError> {
    let name: BackendName = name.parse()?;
    if announcement.slots == SlotCount::new(0) {
        return Err(MeshError::invalid(format!(
            "backend server {name} announces zero slots; use 1 or more"
        )));
    }
    let service = announcement.service.clone();
    let backend_state = announcement.state;
    let is_changed = state
        .backends()
        .announce(state.now(), name.clone(), announcement);
    if is_changed {
        state.publish_backends();
        info!(state.logger, "{}", EventName::BackendAnnounced;
            "backend" => name.to_string(), "service" => service.to_string(),
            "state" => format!("{backend_state:?}"));
    }
    Ok(())
}

async fn remove(state: web::Data<NodeState>, name: web::Path<String>) -> impl Responder {
    let name: BackendName = match name.parse() {
        Ok(name) => name,
        Err(error) => return error_response(&error, None),
    };
    let is_removed = state.backends().remove(&name);
    if is_removed {
        state.publish_backends();
        info!(state.logger, "{}", EventName::BackendLeft; "backend" => name.to_string());
    }
    HttpResponse::NoContent().finish()
}
