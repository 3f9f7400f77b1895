use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use bronzelb_store::table::{RowKey, RowRevision, RowWrite};
use serde::{Deserialize, Serialize};

use crate::platform::{
    LostResponses, WriteConflict,
    platform_state::{PlatformState, StateHandle},
    request_faults::{AccessKind, apply_faults, close_connection},
};

const MAX_SCAN_ROWS: usize = 1_000;

#[derive(Deserialize)]
pub(crate) struct ScanQuery {
    #[serde(default)]
    prefix: String,
    after: Option<RowKey>,
    #[serde(default = "max_scan_rows")]
    limit: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TransactRequest {
    writes: Vec<RowWrite>,
}

#[derive(Serialize)]
struct TransactResponse {
    revision: RowRevision,
}

pub(crate) async fn get_row(
    state: web::Data<StateHandle>,
    request: HttpRequest,
    key: web::Path<RowKey>,
) -> HttpResponse {
    if let Some(response) = apply_faults(&state, &request, AccessKind::Read).await {
        return response;
    }
    let mut guard = state.lock();
    guard.counters.rows_read += 1;
    match guard.table.get(&key) {
        Some(row) => HttpResponse::Ok().json(row),
        None => HttpResponse::NotFound().finish(),
    }
}

pub(crate) async fn scan(
    state: web::Data<StateHandle>,
    request: HttpRequest,
    query: web::Query<ScanQuery>,
) -> HttpResponse {
    if let Some(response) = apply_faults(&state, &request, AccessKind::Read).await {
        return response;
    }
    let mut guard = state.lock();
    guard.counters.scans += 1;
    let limit = query.limit.min(MAX_SCAN_ROWS);
    let page = guard.table.scan(&query.prefix, query.after.as_ref(), limit);
    HttpResponse::Ok().json(page)
}

pub(crate) async fn transact(
    state: web::Data<StateHandle>,
    request: HttpRequest,
    body: web::Json<TransactRequest>,
) -> HttpResponse {
    if let Some(response) = apply_faults(&state, &request, AccessKind::Write).await {
        return response;
    }
    let writes = body.into_inner().writes;
    let lost_responses = consume_lost_response(&mut state.lock(), &writes);
    if let Some(lost_responses) = lost_responses {
        return write_without_response(&state, &request, writes, &lost_responses);
    }
    match transact_and_count(&mut state.lock(), writes) {
        Ok(revision) => HttpResponse::Ok().json(TransactResponse { revision }),
        Err(conflict) => HttpResponse::Conflict().json(conflict),
    }
}

const fn max_scan_rows() -> usize {
    MAX_SCAN_ROWS
}

/// Consumes one use of the lost-response fault if it affects the transaction.
fn consume_lost_response(state: &mut PlatformState, writes: &[RowWrite]) -> Option<LostResponses> {
    let lost_responses = &mut state.faults.lose_answers;
    let is_affected = writes
        .iter()
        .any(|write| write.key.as_str().starts_with(&lost_responses.key_prefix));
    if lost_responses.next == 0 || !is_affected {
        return None;
    }
    lost_responses.next -= 1;
    let consumed = lost_responses.clone();
    state.counters.faulted += 1;
    Some(consumed)
}

fn write_without_response(
    state: &StateHandle,
    request: &HttpRequest,
    writes: Vec<RowWrite>,
    lost_responses: &LostResponses,
) -> HttpResponse {
    if lost_responses.apply_after_ms == 0 {
        // The client receives no response, so the result is not needed.
        let _ = transact_and_count(&mut state.lock(), writes);
    } else {
        let delay = Duration::from_millis(lost_responses.apply_after_ms);
        let state = state.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = transact_and_count(&mut state.lock(), writes);
        });
    }
    close_connection(request)
}

/// Executes a transaction and counts its result.
fn transact_and_count(
    state: &mut PlatformState,
    writes: Vec<RowWrite>,
) -> Result<RowRevision, WriteConflict> {
    let result = state.table.transact(writes);
    match &result {
        Ok(_) => state.counters.transacts += 1,
        Err(_) => state.counters.conflicts += 1,
    }
    result
}
