use std::{future::pending, time::Duration};

use actix_web::{HttpRequest, HttpResponse};
use rand::Rng;

use crate::{
    platform::platform_state::{PlatformState, StateHandle},
    server::{ConnectionHandle, wall_clock},
};

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSort {
    Read,
    Write,
}

enum GateVerdict {
    Pass,
    Close,
    Hang,
    Unavailable,
}

/// Applies the faults that act before a request is looked at.
///
/// The answer is `None` for a request that passes.
pub(crate) async fn pass_gate(
    state: &StateHandle,
    request: &HttpRequest,
    sort: RequestSort,
) -> Option<HttpResponse> {
    let (verdict, delay) = {
        let mut guard = state.lock();
        let delay = Duration::from_millis(guard.faults.delay_ms);
        (judge(&mut guard, request, sort), delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match verdict {
        GateVerdict::Pass => None,
        GateVerdict::Close => Some(close(request)),
        GateVerdict::Hang => pending().await,
        GateVerdict::Unavailable => Some(HttpResponse::ServiceUnavailable().finish()),
    }
}

/// Closes the request's connection; the returned answer is never seen.
pub(crate) fn close(request: &HttpRequest) -> HttpResponse {
    ConnectionHandle::close_request(request);
    HttpResponse::InternalServerError().force_close().finish()
}

fn judge(state: &mut PlatformState, request: &HttpRequest, sort: RequestSort) -> GateVerdict {
    let is_over_limit = count(state, request, sort);
    let verdict = if state.faults.away {
        GateVerdict::Close
    } else if state.faults.hang {
        GateVerdict::Hang
    } else if is_over_limit || draws_failure(state) {
        GateVerdict::Unavailable
    } else {
        return GateVerdict::Pass;
    };
    state.counters.faulted += 1;
    verdict
}

fn count(state: &mut PlatformState, request: &HttpRequest, sort: RequestSort) -> bool {
    let now = wall_clock();
    let (in_second, limit) = match sort {
        RequestSort::Read => {
            if let Some(peer) = request.peer_addr() {
                state.counters.readers.insert(peer.ip());
            }
            let in_second = state.counters.reads.count(now);
            (in_second, state.faults.max_reads_per_second)
        }
        RequestSort::Write => {
            let in_second = state.counters.writes.count(now);
            (in_second, state.faults.max_writes_per_second)
        }
    };
    limit > 0 && in_second > limit
}

fn draws_failure(state: &mut PlatformState) -> bool {
    let share = state.faults.fail_share;
    share > 0.0 && state.random.random::<f64>() < share
}
