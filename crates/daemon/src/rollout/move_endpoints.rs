use std::collections::BTreeMap;

use actix_web::{HttpResponse, Responder, web};
use bronzelb_kernel::{
    clock::ClockInstant,
    config::ShareRatio,
    error::{ErrorKind, MeshError},
    ids::{RouteName, ServiceName, SlotCount},
    member::{BackendState, MemberState},
    rollout::{
        MARK_KIND, MarkCause, MoveEvent, MoveMark, MoveOutlook, MoveRecord, MoveTransition,
        RouteTally, VersionCapacity, VersionSide,
    },
    spread::RecordKey,
};
use serde::{Deserialize, Serialize};

use crate::{callers::error_response, node::NodeState};

/// A node's knowledge of a service's latest move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MoveReport {
    /// The move, as of the latest version of the platform's row that reached the node.
    pub record: MoveRecord,
    /// Mark that rolls the move back, if the node knows one.
    pub mark: Option<MoveMark>,
    /// Whether a running move is expected to finish by its deadline, and if not, why.
    pub outlook: Option<MoveOutlook>,
    /// Traffic share and request counts of each route.
    pub routes: BTreeMap<RouteName, RouteShare>,
}

/// Traffic share and request counts of a route.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RouteShare {
    /// Share of the route's requests that this node sends to the new version.
    pub share: ShareRatio,
    /// Requests observed so far.
    pub tally: RouteTally,
}

/// Adds the endpoints for version moves.
pub(crate) fn configure_moves(config: &mut web::ServiceConfig) {
    config
        .route("/v1/moves", web::get().to(list_moves))
        .route("/v1/moves/{service}/stop", web::post().to(post_stop));
}

async fn list_moves(state: web::Data<NodeState>) -> impl Responder {
    let table = state.rollout.table();
    let services: Vec<ServiceName> = table
        .records()
        .map(|record| record.service.clone())
        .collect();
    drop(table);
    let now = state.now();
    let reports: Vec<MoveReport> = services
        .iter()
        .filter_map(|service| build_report(&state, service, now))
        .collect();
    HttpResponse::Ok().json(reports)
}

/// Marks a running move as rolled back by an operator; works while the platform is unreachable.
async fn post_stop(state: web::Data<NodeState>, service: web::Path<String>) -> impl Responder {
    match stop_move(&state, &service) {
        Ok(report) => HttpResponse::Ok().json(report),
        Err(error) => error_response(&error, None),
    }
}

fn stop_move(state: &NodeState, service: &str) -> Result<MoveReport, MeshError> {
    let service: ServiceName = service.parse()?;
    let unknown = || {
        let message = format!("no move of service {service} is known");
        MeshError::new(ErrorKind::NotFound, message)
    };
    let now = state.now();
    let record = state.rollout.table().record(&service).cloned();
    let record = record.ok_or_else(unknown)?;
    if record.state.transition(MoveEvent::Stop) == MoveTransition::Refused {
        let message = format!("move {} of service {service} is done", record.number);
        return Err(MeshError::new(ErrorKind::Conflict, message));
    }
    let mark = MoveMark {
        number: record.number,
        marked_at: now,
        node: Some(state.settings.node.clone()),
        data_centre: Some(state.settings.data_centre.clone()),
        cause: MarkCause::Operator,
        route: None,
        figures: "stopped by an operator".into(),
    };
    state.rollout.table().merge_mark(&service, mark.clone());
    let key = RecordKey::new(MARK_KIND, service.as_str());
    state.put_record(key, mark.to_bytes())?;
    build_report(state, &service, now).ok_or_else(unknown)
}

fn build_report(state: &NodeState, service: &ServiceName, now: ClockInstant) -> Option<MoveReport> {
    let table = state.rollout.table();
    let record = table.record(service)?.clone();
    let capacity = serving_capacity(state, &record);
    let tallies = table.view(service, now)?.routes.clone();
    let share = |route: &RouteName| table.version_split(service, route, now).share();
    let routes = tallies
        .into_iter()
        .map(|(route, tally)| {
            let share = share(&route);
            (route, RouteShare { share, tally })
        })
        .collect();
    Some(MoveReport {
        mark: table.mark(service).cloned(),
        outlook: table.outlook(service, capacity, now),
        record,
        routes,
    })
}

fn serving_capacity(state: &NodeState, record: &MoveRecord) -> VersionCapacity {
    let members = state.members();
    let rows = members
        .iter()
        .filter(|row| row.state == MemberState::Serving)
        .flat_map(|row| row.backends.iter())
        .filter(|row| row.service == record.service && row.state == BackendState::Serving);
    let mut capacity = VersionCapacity::default();
    for row in rows {
        let slots = match record.side_of(&row.version) {
            Some(VersionSide::New) => &mut capacity.new,
            Some(VersionSide::Old) => &mut capacity.old,
            None => continue,
        };
        *slots = SlotCount::new(slots.get() + row.slots.get());
    }
    capacity
}
