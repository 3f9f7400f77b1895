use actix_web::{HttpResponse, web};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    member::BackendState,
};
use serde::Serialize;

use crate::{
    backend::backend_state::{BackendParts, CoreHandle},
    server::wall_clock,
};

/// What the server claims about itself.
struct ClaimedLoad {
    healthy: bool,
    busy: u32,
}

#[derive(Serialize)]
struct JsonReport {
    healthy: bool,
    busy: u32,
    slots: u32,
}

/// Answers with the format `json-load`.
pub(crate) async fn get_json(core: web::Data<CoreHandle>) -> HttpResponse {
    let Some(claimed) = claim(&mut core.lock()) else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().json(JsonReport {
        healthy: claimed.healthy,
        busy: claimed.busy,
        slots: core.settings.slots.get(),
    })
}

/// Answers with the format `plain-status`.
pub(crate) async fn get_plain(core: web::Data<CoreHandle>) -> HttpResponse {
    let Some(claimed) = claim(&mut core.lock()) else {
        return HttpResponse::NotFound().finish();
    };
    let health = if claimed.healthy { "ok" } else { "failing" };
    let slots = core.settings.slots;
    let body = format!(
        "health: {health}\nbusy-slots: {}\ntotal-slots: {slots}\n",
        claimed.busy
    );
    HttpResponse::Ok().content_type("text/plain").body(body)
}

fn claim(parts: &mut BackendParts) -> Option<ClaimedLoad> {
    parts.tally.totals.reports += 1;
    let faults = &parts.plan.faults.report;
    if faults.is_absent {
        return None;
    }
    let lag = TimeBudget::from_millis(faults.lag_ms);
    let is_serving = parts.state == BackendState::Serving;
    Some(ClaimedLoad {
        healthy: faults.healthy.unwrap_or(is_serving),
        busy: faults.busy.unwrap_or_else(|| busy_before(parts, lag)),
    })
}

fn busy_before(parts: &BackendParts, lag: TimeBudget) -> u32 {
    if lag.is_zero() {
        return parts.busy;
    }
    let then: ClockInstant = wall_clock().before(lag);
    let sample = parts.samples.iter().rev().find(|sample| sample.at <= then);
    sample.map_or(0, |sample| sample.busy)
}
