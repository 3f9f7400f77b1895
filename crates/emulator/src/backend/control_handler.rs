use std::net::SocketAddr;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::{
    backend::{BackendFaults, backend_state::CoreHandle, fault_plan::FaultPlan},
    server::wall_clock,
};

/// Node beside which the server announces itself.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeBody {
    address: SocketAddr,
}

pub(crate) async fn put_faults(
    core: web::Data<CoreHandle>,
    faults: web::Json<BackendFaults>,
) -> HttpResponse {
    core.lock().plan = FaultPlan::new(faults.into_inner(), wall_clock());
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_faults(core: web::Data<CoreHandle>) -> HttpResponse {
    HttpResponse::Ok().json(&core.lock().plan.faults)
}

pub(crate) async fn put_node(
    core: web::Data<CoreHandle>,
    node: web::Json<NodeBody>,
) -> HttpResponse {
    core.lock().node = Some(node.address);
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_tally(core: web::Data<CoreHandle>) -> HttpResponse {
    HttpResponse::Ok().json(&core.lock().tally)
}

pub(crate) async fn get_totals(core: web::Data<CoreHandle>) -> HttpResponse {
    HttpResponse::Ok().json(core.lock().tally.totals)
}
