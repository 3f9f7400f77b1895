use actix_web::{HttpResponse, Responder, web};
use bronzelb_kernel::{
    burn::{BurnKey, NodeBurn},
    clock::ClockInstant,
    config::RouteRule,
    error::MeshError,
    ids::RouteName,
};
use bronzelb_wire::peer::ForwardResponse;

use crate::node::NodeState;

const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Adds the endpoint that reports the error budget burn.
pub(crate) fn configure_burn(config: &mut web::ServiceConfig) {
    config.route("/v1/burn", web::get().to(get_burn));
}

async fn get_burn(state: web::Data<NodeState>) -> impl Responder {
    let now = state.now();
    let objectives = state.config().map(|config| {
        let routes = config.snapshot().routes.iter();
        routes
            .map(|(route, rule)| (route.clone(), rule.objective.clone()))
            .collect()
    });
    HttpResponse::Ok().json(NodeBurn {
        node: state.settings.node.clone(),
        data_centre: state.settings.data_centre.clone(),
        now,
        objectives: objectives.unwrap_or_default(),
        rows: state.rollout.burn().rows(now),
    })
}

/// Counts a caller's request against the objective of its route.
///
/// A response is bad if its status is a server error, or if its status is below 400 and it took
/// longer than the latency of the objective. Client errors are good at any latency.
pub(crate) fn record_burn(
    state: &NodeState,
    route: &RouteName,
    rule: &RouteRule,
    started_at: ClockInstant,
    result: &Result<ForwardResponse, MeshError>,
) {
    let now = state.now();
    let elapsed = started_at.elapsed(now);
    let status = match result {
        Ok(response) => response.status,
        Err(error) => error.kind().response().status,
    };
    let is_bad =
        status >= MIN_SERVER_ERROR_STATUS || (status < 400 && elapsed > rule.objective.latency);
    let table = state.rollout.table();
    let record = table.record(&rule.service);
    let running_move = record
        .filter(|record| !record.state.is_final())
        .map(|record| record.number);
    drop(table);
    let key = BurnKey {
        route: route.clone(),
        service: rule.service.clone(),
        version: result
            .as_ref()
            .ok()
            .map(|response| response.version.clone()),
        running_move,
    };
    state.rollout.burn().record(key, is_bad, now);
}
