use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time;

use crate::{
    http::{CallRequest, CallResponse, CallerClient},
    server::wall_clock,
};

/// Client-side timeout; longer than the timeout of every route.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Upper bound of the random think time between two calls of a caller.
const MAX_THINK_TIME_MS: u64 = 40;
/// Fraction of calls that are idempotent.
const IDEMPOTENT_SHARE: f64 = 0.6;
/// Delay after a failed connection, such as while a node restarts.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Execution semantics that a call requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call may run at most once.
    AtMostOnce,
}

/// One call of a soak run, as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakCall {
    /// Index of the node that received the call, counted from 0.
    pub node: usize,
    /// Execution semantics of the call.
    pub kind: CallKind,
    /// Request path, unique within the run.
    pub target: String,
    /// Time at which the call was sent.
    pub sent_at: ClockInstant,
    /// Time at which the call completed or failed.
    pub ended_at: ClockInstant,
    /// HTTP status of the response; `None` if the connection failed or broke.
    pub status: Option<u16>,
    /// Execution state that the response reports: `ran`, `not-run`, `outcome-unknown` or empty.
    pub run_state: String,
    /// Whether a complete response was received that belongs to this call.
    pub has_matching_response: bool,
}

impl SoakCall {
    /// Returns whether the response has a success status.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.status
            .is_some_and(|status| (200..300).contains(&status))
    }
}

/// Sends calls to one node over persistent connections until `until`.
pub(super) async fn run_caller(
    (node, address): (usize, SocketAddr),
    (seed, caller): (u64, usize),
    until: ClockInstant,
    calls: Rc<RefCell<Vec<SoakCall>>>,
) {
    let rng_stream = (caller as u64 + 1) << 32;
    let mut rng = StdRng::seed_from_u64(seed ^ rng_stream);
    let client = CallerClient::new();
    let mut number = 0_u32;
    while !until.has_passed(wall_clock()) {
        number += 1;
        let kind = if rng.random_bool(IDEMPOTENT_SHARE) {
            CallKind::Idempotent
        } else {
            CallKind::AtMostOnce
        };
        let call = send_call(
            &client,
            (node, address),
            kind,
            &format!("{caller}-{number}"),
        )
        .await;
        let delay = match call.status {
            Some(_) => Duration::from_millis(rng.random_range(0..=MAX_THINK_TIME_MS)),
            None => RECONNECT_DELAY,
        };
        calls.borrow_mut().push(call);
        time::sleep(delay).await;
    }
}

async fn send_call(
    client: &CallerClient,
    (node, address): (usize, SocketAddr),
    kind: CallKind,
    name: &str,
) -> SoakCall {
    let request = match kind {
        CallKind::Idempotent => CallRequest::get(format!("/reads/{name}")),
        CallKind::AtMostOnce => CallRequest::post(format!("/orders/{name}"), name.to_owned()),
    };
    let request = request.with_timeout(CLIENT_TIMEOUT);
    let sent_at = wall_clock();
    let answer = client.call(address, &request).await.ok();
    let run_state = answer
        .as_ref()
        .map_or("", CallResponse::run_state)
        .to_owned();
    SoakCall {
        node,
        kind,
        sent_at,
        ended_at: wall_clock(),
        status: answer.as_ref().map(|answer| answer.status),
        run_state,
        has_matching_response: answer.is_some_and(|answer| answer.is_response_to(&request)),
        target: request.target,
    }
}

/// Waits until every node serves a call and returns the first node that does not within `limit`.
pub(super) async fn find_unavailable_node(
    addresses: &[SocketAddr],
    limit: TimeBudget,
) -> Option<usize> {
    let client = CallerClient::new();
    let deadline = wall_clock().after(limit);
    for (node, address) in addresses.iter().enumerate() {
        let mut number = 0;
        loop {
            number += 1;
            let name = format!("after-{node}-{number}");
            let call = send_call(&client, (node, *address), CallKind::Idempotent, &name).await;
            if call.is_success() {
                break;
            }
            if deadline.has_passed(wall_clock()) {
                return Some(node);
            }
            time::sleep(RECONNECT_DELAY).await;
        }
    }
    None
}
