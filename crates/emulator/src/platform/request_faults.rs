use std::{future::pending, time::Duration};

use actix_web::{HttpRequest, HttpResponse};
use rand::Rng;

use crate::{
    platform::platform_state::{PlatformState, StateHandle},
    server::{ConnectionHandle, wall_clock},
};

/// Kind of access that a request makes to the table service or the object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AccessKind {
    Read,
    Write,
}

/// Decision of the active faults on a request.
enum FaultDecision {
    Process,
    Close,
    Hang,
    Unavailable,
}

/// Counts a request and applies the faults that act before it is processed.
///
/// Returns `None` if the request is to be processed.
pub(crate) async fn apply_faults(
    state: &StateHandle,
    request: &HttpRequest,
    kind: AccessKind,
) -> Option<HttpResponse> {
    let (decision, delay) = {
        let mut guard = state.lock();
        let delay = Duration::from_millis(guard.faults.delay_ms);
        (decide(&mut guard, request, kind), delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match decision {
        FaultDecision::Process => None,
        FaultDecision::Close => Some(close_connection(request)),
        FaultDecision::Hang => pending().await,
        FaultDecision::Unavailable => Some(HttpResponse::ServiceUnavailable().finish()),
    }
}

/// Closes the request's connection; the returned response is never sent.
pub(crate) fn close_connection(request: &HttpRequest) -> HttpResponse {
    ConnectionHandle::close_request(request);
    HttpResponse::InternalServerError().force_close().finish()
}

fn decide(state: &mut PlatformState, request: &HttpRequest, kind: AccessKind) -> FaultDecision {
    let is_over_limit = count_request(state, request, kind);
    let decision = if state.faults.away {
        FaultDecision::Close
    } else if state.faults.hang {
        FaultDecision::Hang
    } else if is_over_limit || is_failure_selected(state) {
        FaultDecision::Unavailable
    } else {
        return FaultDecision::Process;
    };
    state.counters.faulted += 1;
    decision
}

/// Counts a request and returns whether it exceeds the rate limit of its kind.
fn count_request(state: &mut PlatformState, request: &HttpRequest, kind: AccessKind) -> bool {
    let now = wall_clock();
    let (in_second, limit) = match kind {
        AccessKind::Read => {
            if let Some(peer) = request.peer_addr() {
                state.counters.readers.insert(peer.ip());
            }
            let in_second = state.counters.reads.count(now);
            (in_second, state.faults.max_reads_per_second)
        }
        AccessKind::Write => {
            let in_second = state.counters.writes.count(now);
            (in_second, state.faults.max_writes_per_second)
        }
    };
    limit > 0 && in_second > limit
}

fn is_failure_selected(state: &mut PlatformState) -> bool {
    let fail_share = state.faults.fail_share;
    fail_share > 0.0 && state.rng.random::<f64>() < fail_share
}
