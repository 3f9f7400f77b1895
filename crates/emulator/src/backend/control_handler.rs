use std::net::SocketAddr;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::{
    backend::{BackendFaults, emulated_backend::BackendHandle, fault_selector::FaultSelector},
    server::wall_clock,
};

/// Body of `PUT /node`: the operators' listener of the node to announce to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeBody {
    address: SocketAddr,
}

pub(crate) async fn put_faults(
    backend: web::Data<BackendHandle>,
    faults: web::Json<BackendFaults>,
) -> HttpResponse {
    backend.lock().selector = FaultSelector::new(faults.into_inner(), wall_clock());
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_faults(backend: web::Data<BackendHandle>) -> HttpResponse {
    HttpResponse::Ok().json(&backend.lock().selector.faults)
}

pub(crate) async fn put_node(
    backend: web::Data<BackendHandle>,
    node: web::Json<NodeBody>,
) -> HttpResponse {
    backend.lock().node = Some(node.address);
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_tally(backend: web::Data<BackendHandle>) -> HttpResponse {
    HttpResponse::Ok().json(&backend.lock().tally)
}

pub(crate) async fn get_totals(backend: web::Data<BackendHandle>) -> HttpResponse {
    HttpResponse::Ok().json(backend.lock().tally.totals)
}
