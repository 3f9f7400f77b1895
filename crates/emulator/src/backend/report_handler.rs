use actix_web::{HttpResponse, web};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    member::BackendState,
};
use serde::Serialize;

use crate::{
    backend::emulated_backend::{BackendHandle, MutableState},
    server::wall_clock,
};

/// Health and load to report, with report faults applied.
struct ReportedLoad {
    healthy: bool,
    busy: u32,
}

#[derive(Serialize)]
struct JsonReport {
    healthy: bool,
    busy: u32,
    slots: u32,
}

/// Returns the report in the `json-load` format.
pub(crate) async fn get_json(backend: web::Data<BackendHandle>) -> HttpResponse {
    let Some(load) = reported_load(&mut backend.lock()) else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().json(JsonReport {
        healthy: load.healthy,
        busy: load.busy,
        slots: backend.settings.slots.get(),
    })
}

/// Returns the report in the `plain-status` format.
pub(crate) async fn get_plain(backend: web::Data<BackendHandle>) -> HttpResponse {
    let Some(load) = reported_load(&mut backend.lock()) else {
        return HttpResponse::NotFound().finish();
    };
    let health = if load.healthy { "ok" } else { "failing" };
    let slots = backend.settings.slots;
    let body = format!(
        "health: {health}\nbusy-slots: {}\ntotal-slots: {slots}\n",
        load.busy
    );
    HttpResponse::Ok().content_type("text/plain").body(body)
}

/// Counts a report request and returns the load to report, or `None` if a fault disables reports.
fn reported_load(state: &mut MutableState) -> Option<ReportedLoad> {
    state.tally.totals.reports += 1;
    let faults = &state.selector.faults.report;
    if faults.is_absent {
        return None;
    }
    let lag = TimeBudget::from_millis(faults.lag_ms);
    let is_serving = state.lifecycle == BackendState::Serving;
    Some(ReportedLoad {
        healthy: faults.healthy.unwrap_or(is_serving),
        busy: faults.busy.unwrap_or_else(|| delayed_busy(state, lag)),
    })
}

/// Returns the number of busy slots at the time `lag` ago, or 0 if no sample is that old.
fn delayed_busy(state: &MutableState, lag: TimeBudget) -> u32 {
    if lag.is_zero() {
        return state.busy;
    }
    let sampled_at: ClockInstant = wall_clock().before(lag);
    let sample = state
        .samples
        .iter()
        .rev()
        .find(|sample| sample.at <= sampled_at);
    sample.map_or(0, |sample| sample.busy)
}
