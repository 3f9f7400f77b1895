use std::time::Duration;

use actix_web::dev::ServerHandle;
use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use slog::info;
use tokio::time;

use crate::{
    log::EventName,
    node::{NodeState, StopSender},
};

/// Time for which a draining node still accepts new requests, while the other nodes learn of the
/// drain.
const DRAIN_NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time for a supervisor, which polls once a second, to see twice in a row that the node is not
/// ready.
const SUPERVISOR_NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Last part of [`SUPERVISOR_NOTICE_TIME`], in which the other nodes learn of the drain. Gossip
/// reaches them within 0.3 s (docs/MEASURES.md); requests of a node that it missed are rejected as
/// not run.
const GOSSIP_NOTICE_TIME: Duration = Duration::from_millis(600);
/// Part of a limited shutdown that is reserved for sending the last responses.
const RESPONSE_RESERVE: TimeBudget = TimeBudget::from_millis(400);
/// Minimum time that requests in flight get to finish after the notice.
const MIN_DRAIN_TIME: TimeBudget = TimeBudget::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const SOCKET_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Shuts a node down gracefully, so that no request is interrupted.
///
/// From the start, requests that may outlast the drain are refused as not run; see `DrainGate`.
///
/// 1. The node reports that it is not ready, so that callers use other nodes. If a supervisor has
///    to notice this, the backend servers on the VM continue to serve the other nodes meanwhile.
/// 2. The node announces the drain to the mesh, and for a short time still accepts requests from
///    nodes that have not received the announcement.
/// 3. With a limit in the settings, the node still accepts requests while no other node has a server
///    of a service that it hosts, as long as they can finish before the drain deadline.
/// 4. The node rejects new requests as not run, closes idle connections and waits for the requests
///    in flight until the drain deadline. Without a limit in the settings this is the longest
///    drain time of any service, but at least 30 s.
pub(crate) async fn drain_node(state: &NodeState, callers: &ServerHandle, connections: StopSender) {
    let shutdown = state.settings.shutdown;
    let limit = shutdown.map(|time| state.now().after(time).before(RESPONSE_RESERVE));
    let deadline = limit.unwrap_or_else(|| {
        let notice = TimeBudget::from_millis(DRAIN_NOTICE_TIME.as_millis() as u64);
        state.now().after(notice).after(drain_time(state))
    });
    let drain_gate = state.requests.drain_gate();
    drain_gate.begin_drain(deadline);
    state.begin_drain();
    if limit.is_some() {
        time::sleep(SUPERVISOR_NOTICE_TIME.saturating_sub(GOSSIP_NOTICE_TIME)).await;
        state.announce_drain();
        time::sleep(GOSSIP_NOTICE_TIME).await;
    } else {
        state.announce_drain();
        time::sleep(DRAIN_NOTICE_TIME).await;
    }
    drain_gate.end_notice();
    if limit.is_some() {
        keep_last_server(state, deadline).await;
    }
    drain_gate.close();
    drop(connections);
    let stopped = callers.stop(true);
    while state.requests.in_flight() > 0 && !deadline.has_passed(state.now()) {
        time::sleep(POLL_INTERVAL).await;
    }
    let remaining = deadline.remaining(state.now()).to_std();
    let has_timed_out = time::timeout(remaining, stopped).await.is_err();
    // Responses to other nodes may not have been written to their sockets yet.
    time::sleep(SOCKET_FLUSH_TIME).await;
    let in_flight = state.requests.in_flight();
    info!(state.logger, "{}", EventName::Drained;
        "cut" => has_timed_out || in_flight > 0, "in_flight" => in_flight);
}

/// Waits until another node has a server of each service that this node hosts, or until a request
/// accepted now could outlast `drain_deadline`.
async fn keep_last_server(state: &NodeState, drain_deadline: ClockInstant) {
    let accept_deadline = drain_deadline.before(longest_timeout(state));
    while !accept_deadline.has_passed(state.now()) && is_last_host(state) {
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether this node hosts a server of a service that no other node serves, by the latest
/// member rows.
fn is_last_host(state: &NodeState) -> bool {
    if let Some(config) = state.config() {
        let (now, snapshot) = (state.now(), config.snapshot());
        state.requests.sync_members(now, &state.gossip, snapshot);
    }
    let load_balancer = state.requests.load_balancer();
    load_balancer.is_last_host(&state.settings.node)
}

/// Returns the longest timeout of a route to a service that this node hosts.
fn longest_timeout(state: &NodeState) -> TimeBudget {
    let rows = state.backends().rows();
    let config = state.config();
    let routes = config
        .iter()
        .flat_map(|config| config.snapshot().routes.values());
    let hosted = routes.filter(|route| {
        let mut services = route.services();
        services.any(|service| rows.iter().any(|row| row.service == *service))
    });
    hosted
        .map(|route| route.timeout)
        .fold(TimeBudget::ZERO, TimeBudget::max)
}

fn drain_time(state: &NodeState) -> TimeBudget {
    let config = state.config();
    let services = config
        .iter()
        .flat_map(|config| config.snapshot().services.values());
    services
        .map(|service| service.drain)
        .fold(MIN_DRAIN_TIME, TimeBudget::max)
}
