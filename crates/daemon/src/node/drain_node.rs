use std::time::Duration;

use actix_web::dev::ServerHandle;
use bronzelb_kernel::clock::TimeBudget;
use slog::info;
use tokio::time;

use crate::{
    log::EventName,
    node::{NodeState, StopSender},
};

/// Time for which a draining node still takes new requests while the others learn of it.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time that a supervisor needs to see twice in a row that a node is no longer ready: it asks once
/// a second.
const SUPERVISOR_TIME: Duration = Duration::from_millis(2_300);
/// Time at the end of the supervisor's in which the other nodes learn of the drain; gossip reaches
/// them within 0.3 s (docs/MEASURES.md), and a node that was missed is refused as not run.
const MESH_NOTICE_TIME: Duration = Duration::from_millis(600);
/// Part of a limited shutdown that stays for the last answers to go out.
const SPARE_TIME: TimeBudget = TimeBudget::from_millis(400);
/// Time after the notice that requests in flight get at least.
const MIN_DRAIN_TIME: TimeBudget = TimeBudget::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Shuts a node down without cutting off a request.
///
/// The node stops being ready, so that its callers go elsewhere. Where a supervisor has to notice
/// that, the backend servers beside the node go on serving the other nodes meanwhile. Then the node
/// announces that it drains and for a short time still takes requests from those that have not
/// heard of it. Last it refuses new ones as not run, closes idle connections, and waits for the
/// requests in flight until the drain deadline: the longest drain time of any service, and at least
/// 30 s.
pub(crate) async fn drain_node(state: &NodeState, callers: &ServerHandle, connections: StopSender) {
    let shutdown = state.settings.shutdown;
    let limit = shutdown.map(|time| state.now().after(time).before(SPARE_TIME));
    state.begin_drain();
    if limit.is_some() {
        time::sleep(SUPERVISOR_TIME.saturating_sub(MESH_NOTICE_TIME)).await;
        state.announce_drain();
        time::sleep(MESH_NOTICE_TIME).await;
    } else {
        state.announce_drain();
        time::sleep(NOTICE_TIME).await;
    }
    state.requests.close();
    drop(connections);
    let deadline = limit.unwrap_or_else(|| state.now().after(drain_time(state)));
    let stopped = callers.stop(true);
    while state.requests.in_flight() > 0 && !deadline.has_passed(state.now()) {
        time::sleep(POLL_INTERVAL).await;
    }
    let left = deadline.remaining(state.now()).to_std();
    let is_cut = time::timeout(left, stopped).await.is_err();
    // Answers to other nodes may still be on their way into the socket.
    time::sleep(FLUSH_TIME).await;
    let in_flight = state.requests.in_flight();
    info!(state.logger, "{}", EventName::Drained;
        "cut" => is_cut || in_flight > 0, "in_flight" => in_flight);
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
