use actix_web::{HttpRequest, HttpResponse, web};

use crate::platform::{
    platform_state::StateHandle,
    request_faults::{AccessKind, apply_faults, close_connection},
};

pub(crate) async fn put_object(
    state: web::Data<StateHandle>,
    request: HttpRequest,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    if let Some(response) = apply_faults(&state, &request, AccessKind::Write).await {
        return response;
    }
    let mut guard = state.lock();
    guard.counters.objects_written += 1;
    let name = name.into_inner();
    let lost_responses = &mut guard.faults.lose_answers;
    let is_response_lost = lost_responses.next > 0 && name.starts_with(&lost_responses.key_prefix);
    if is_response_lost {
        lost_responses.next -= 1;
        guard.counters.faulted += 1;
    }
    guard.objects.insert(name, body);
    if is_response_lost {
        return close_connection(&request);
    }
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_object(
    state: web::Data<StateHandle>,
    request: HttpRequest,
    name: web::Path<String>,
) -> HttpResponse {
    if let Some(response) = apply_faults(&state, &request, AccessKind::Read).await {
        return response;
    }
    let mut guard = state.lock();
    let Some(body) = guard.objects.get(name.as_str()).cloned() else {
        return HttpResponse::NotFound().finish();
    };
    guard.counters.objects_read += 1;
    guard.counters.object_bytes_read += body.len() as u64;
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .body(body)
}
