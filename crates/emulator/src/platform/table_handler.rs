use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use bronzelb_store::table::{RowKey, RowRevision, RowWrite};
use serde::{Deserialize, Serialize};

use crate::platform::{
    LostAnswers, WriteConflict,
    fault_gate::{RequestSort, close, pass_gate},
    platform_state::{PlatformState, StateHandle},
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
pub(crate) struct TransactBody {
    writes: Vec<RowWrite>,
}

#[derive(Serialize)]
struct WrittenBody {
    revision: RowRevision,
}

pub(crate) async fn get_row(
    state: web::Data<StateHandle>,
    request: HttpRequest,
    key: web::Path<RowKey>,
) -> HttpResponse {
    if let Some(response) = pass_gate(&state, &request, RequestSort::Read).await {
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
    if let Some(response) = pass_gate(&state, &request, RequestSort::Read).await {
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
    body: web::Json<TransactBody>,
) -> HttpResponse {
    if let Some(response) = pass_gate(&state, &request, RequestSort::Write).await {
        return response;
    }
    let writes = body.into_inner().writes;
    let lost = take_lost_answer(&mut state.lock(), &writes);
    if let Some(lost) = lost {
        return write_without_answer(&state, &request, writes, &lost);
    }
    match write(&mut state.lock(), writes) {
        Ok(revision) => HttpResponse::Ok().json(WrittenBody { revision }),
        Err(conflict) => HttpResponse::Conflict().json(conflict),
    }
}

const fn max_scan_rows() -> usize {
    MAX_SCAN_ROWS
}

fn take_lost_answer(state: &mut PlatformState, writes: &[RowWrite]) -> Option<LostAnswers> {
    let lost = &mut state.faults.lose_answers;
    let is_matched = writes
        .iter()
        .any(|write| write.key.as_str().starts_with(&lost.key_prefix));
    if lost.next == 0 || !is_matched {
        return None;
    }
    lost.next -= 1;
    let taken = lost.clone();
    state.counters.faulted += 1;
    Some(taken)
}

fn write_without_answer(
    state: &StateHandle,
    request: &HttpRequest,
    writes: Vec<RowWrite>,
    lost: &LostAnswers,
) -> HttpResponse {
    if lost.apply_after_ms == 0 {
        // Nobody is told whether the expectations were met.
        let _ = write(&mut state.lock(), writes);
    } else {
        let delay = Duration::from_millis(lost.apply_after_ms);
        let state = state.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = write(&mut state.lock(), writes);
        });
    }
    close(request)
}

fn write(state: &mut PlatformState, writes: Vec<RowWrite>) -> Result<RowRevision, WriteConflict> {
    let result = state.table.transact(writes);
    match &result {
        Ok(_) => state.counters.transacts += 1,
        Err(_) => state.counters.conflicts += 1,
    }
    result
}
