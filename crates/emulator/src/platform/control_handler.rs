use actix_web::{HttpResponse, web};

use crate::platform::{PlatformCounters, PlatformFaults, platform_state::StateHandle};

pub(crate) async fn put_faults(
    state: web::Data<StateHandle>,
    faults: web::Json<PlatformFaults>,
) -> HttpResponse {
    state.lock().set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_faults(state: web::Data<StateHandle>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().faults)
}

pub(crate) async fn get_counters(state: web::Data<StateHandle>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().counters)
}

pub(crate) async fn delete_counters(state: web::Data<StateHandle>) -> HttpResponse {
    state.lock().counters = PlatformCounters::default();
    HttpResponse::NoContent().finish()
}
