use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time;

use crate::{
    http::{CallAnswer, CallRequest, CallerClient},
    server::wall_clock,
};

/// Time after which a caller gives up; longer than the timeout of every route.
const PATIENCE: Duration = Duration::from_secs(6);
const MAX_PAUSE_MS: u64 = 40;
/// Share of the calls that may run twice.
const READ_SHARE: f64 = 0.6;
/// Pause after a connection that was refused, as while a node restarts.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
}

/// One call of a soak, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakCall {
    /// Node that it was sent to, counted from 0.
    pub node: usize,
    /// Whether it may run more than once.
    pub kind: CallKind,
    /// Path, which no other call has.
    pub target: String,
    /// When it was sent.
    pub sent_at: ClockInstant,
    /// When it ended.
    pub ended_at: ClockInstant,
    /// Status of the answer; none when the connection failed or broke.
    pub status: Option<u16>,
    /// What the answer says about the run: `ran`, `not-run`, `outcome-unknown` or nothing.
    pub run_state: String,
    /// Whether an answer with success is the whole answer to this call.
    pub is_matching_response: bool,
}

impl SoakCall {
    /// Returns whether the call was answered with success.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.status
            .is_some_and(|status| (200..300).contains(&status))
    }
}

/// Sends calls to one node until `until`, on connections that stay open.
pub(super) async fn run_caller(
    (node, address): (usize, SocketAddr),
    (seed, caller): (u64, usize),
    until: ClockInstant,
    calls: Rc<RefCell<Vec<SoakCall>>>,
) {
    let stream = (caller as u64 + 1) << 32;
    let mut rng = StdRng::seed_from_u64(seed ^ stream);
    let client = CallerClient::new();
    let mut number = 0_u32;
    while !until.has_passed(wall_clock()) {
        number += 1;
        let kind = if rng.random_bool(READ_SHARE) {
            CallKind::Idempotent
        } else {
            CallKind::AtMostOnce
        };
        let call = send(
            &client,
            (node, address),
            kind,
            &format!("{caller}-{number}"),
        )
        .await;
        let pause = match call.status {
            Some(_) => Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS)),
            None => REFUSED_PAUSE,
        };
        calls.borrow_mut().push(call);
        time::sleep(pause).await;
    }
}

async fn send(
    client: &CallerClient,
    (node, address): (usize, SocketAddr),
    kind: CallKind,
    name: &str,
) -> SoakCall {
    let request = match kind {
        CallKind::Idempotent => CallRequest::get(format!("/reads/{name}")),
        CallKind::AtMostOnce => CallRequest::post(format!("/orders/{name}"), name.to_owned()),
    };
    let request = request.with_timeout(PATIENCE);
    let sent_at = wall_clock();
    let answer = client.call(address, &request).await.ok();
    let run_state = answer.as_ref().map_or("", CallAnswer::run_state).to_owned();
    SoakCall {
        node,
        kind,
        sent_at,
        ended_at: wall_clock(),
        status: answer.as_ref().map(|answer| answer.status),
        run_state,
        is_matching_response: answer.is_some_and(|answer| answer.is_answer_to(&request)),
        target: request.target,
    }
}

/// Waits until every node serves a call, and returns the first one that does not in time.
pub(super) async fn find_unserved(addresses: &[SocketAddr], limit: TimeBudget) -> Option<usize> {
    let client = CallerClient::new();
    let deadline = wall_clock().after(limit);
    for (node, address) in addresses.iter().enumerate() {
        let mut number = 0;
        loop {
            number += 1;
            let name = format!("after-{node}-{number}");
            let call = send(&client, (node, *address), CallKind::Idempotent, &name).await;
            if call.is_served() {
                break;
            }
            if deadline.has_passed(wall_clock()) {
                return Some(node);
            }
            time::sleep(REFUSED_PAUSE).await;
        }
    }
    None
}
