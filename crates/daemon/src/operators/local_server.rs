use std::{net::TcpListener, sync::Arc, time::Duration};

use actix_server::Server;
use actix_web::{App, HttpRequest, HttpResponse, http::StatusCode, web};
use bronzelb_kernel::{
    error::MeshError,
    holding::ConnectionKind,
    ids::BackendName,
    member::{BackendMessage, BackendState, StatedCold},
    plugin::{LocalDialect, LocalRequest},
};
use slog::{info, warn};

use crate::{
    backends::{apply_cold_limit, copy_departure, has_plausible_start},
    callers::caller_error_response,
    log::EventName,
    node::NodeState,
    operators::limited_server::start_limited_server,
};

/// Body limit; an announcement is a few hundred bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Starts the listeners for the VM's backend servers and its supervisor.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if a socket is not usable.
pub fn start_local_server(
    state: Arc<NodeState>,
    dialect: LocalDialect,
    listeners: Vec<TcpListener>,
) -> Result<Server, MeshError> {
    let shared = Arc::clone(&state);
    let app = move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&shared)))
            .app_data(web::Data::new(dialect))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(handle_request))
    };
    start_limited_server(&state, ConnectionKind::Local, listeners, IDLE_TIMEOUT, app)
}

async fn handle_request(
    request: HttpRequest,
    body: web::Bytes,
    state: web::Data<NodeState>,
    dialect: web::Data<LocalDialect>,
) -> HttpResponse {
    if request.path() == dialect.ready_path {
        return ready(&state);
    }
    let request = LocalRequest {
        method: request.method().as_str(),
        path: request.path(),
        query: request.query_string(),
        body: &body,
    };
    match (dialect.decode_announcement)(&request) {
        Ok(message) if !has_plausible_start(state.now(), &message) => {
            let error = MeshError::invalid("the announcement is of a server that has not started");
            refuse_announcement(&state, &error);
            caller_error_response(&state.settings.dialect.callers, &error, state.now())
        }
        Ok(message) => {
            let departing = departing_server(&message);
            apply_message(&state, message);
            let copied = match departing {
                Some(name) => copy_departure(&state, &name).await,
                None => Ok(()),
            };
            match copied {
                Ok(()) => HttpResponse::Ok().json(serde_json::Map::new()),
                Err(error) => {
                    caller_error_response(&state.settings.dialect.callers, &error, state.now())
                }
            }
        }
        Err(error) => {
            refuse_announcement(&state, &error);
            caller_error_response(&state.settings.dialect.callers, &error, state.now())
        }
    }
}

/// Returns the server that a message says is leaving, if it does.
fn departing_server(message: &BackendMessage) -> Option<BackendName> {
    match message {
        BackendMessage::Heartbeat(heartbeat) => {
            let is_leaving = heartbeat.announcement.state == BackendState::Draining;
            is_leaving.then(|| heartbeat.name.clone())
        }
        BackendMessage::Leaving { name, .. } => Some(name.clone()),
    }
}

/// Counts and logs an announcement that names no server to use.
fn refuse_announcement(state: &NodeState, error: &MeshError) {
    state.count("announcement_refused");
    if state.should_log(EventName::AnnouncementRefused) {
        warn!(state.logger, "{}", EventName::AnnouncementRefused;
            "message" => error.to_string());
    }
}

fn ready(state: &NodeState) -> HttpResponse {
    match state.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).finish(),
    }
}

fn apply_message(state: &NodeState, message: BackendMessage) {
    let (name, service, backend_state) = match &message {
        BackendMessage::Heartbeat(heartbeat) => (
            heartbeat.name.clone(),
            Some(heartbeat.announcement.service.clone()),
            Some(heartbeat.announcement.state),
        ),
        BackendMessage::Leaving { name, .. } => (name.clone(), None, None),
    };
    if let BackendMessage::Heartbeat(heartbeat) = &message
        && heartbeat.cold_left == StatedCold::Refused
    {
        state.count("announcement_refused");
        if state.should_log(EventName::AnnouncementRefused) {
            warn!(state.logger, "{}", EventName::AnnouncementRefused;
                "backend" => name.to_string(),
                "message" => "the cold time is negative, endless or unreadable and was left out");
        }
    }
    let is_changed = state.backends().handle_message(state.now(), message);
    apply_cold_limit(state, &name);
    if !is_changed {
        return;
    }
    // The server may be new to this node, and cold.
    state.cold_events.notify_one();
    state.publish_backends();
    let event = match backend_state {
        Some(_) => EventName::BackendAnnounced,
        None => EventName::BackendLeft,
    };
    info!(state.logger, "{event}";
        "backend" => name.to_string(),
        "service" => service.map(|service| service.to_string()),
        "state" => backend_state.map(state_name));
}

const fn state_name(state: BackendState) -> &'static str {
    match state {
        BackendState::Starting => "starting",
        BackendState::Serving => "serving",
        BackendState::Draining => "draining",
    }
}
