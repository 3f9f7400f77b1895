use std::{rc::Rc, sync::Arc};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    rollout::EvidenceReport,
};
use bronzelb_wire::{
    PeerService,
    peer::{
        ForwardRequest, ForwardResponse, GossipReply, GossipRequest, ProbeReply, ProbeRequest,
        ReconcileReply, ReconcileRequest, RecordEntry, SnapshotReply, SnapshotRequest, UsageReply,
        UsageReport,
    },
};
use tarpc::context::Context;

use crate::{
    backends::record_contact,
    forward::{RequestForwarder, RoutedRequest},
    gossip::GossipPool,
    holding::RequestHold,
    node::NodeState,
    peers::peer_pool::ROOM_RETRY_DELAY,
};

const PROBE_TIMEOUT: TimeBudget = TimeBudget::from_millis(500);

/// Handles requests from other nodes; clones share connections.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    state: Arc<NodeState>,
    forwarder: RequestForwarder,
    pool: Rc<GossipPool>,
}

impl PeerHandler {
    pub(crate) fn new(state: Arc<NodeState>, pool: Rc<GossipPool>) -> Self {
        Self {
            forwarder: RequestForwarder::new(Arc::clone(&state)),
            state,
            pool,
        }
    }

    pub(crate) fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Counts a received request until it has been answered.
    async fn hold_message(&self, request: &ForwardRequest) -> Result<RequestHold, MeshError> {
        let holding = &self.state.holding;
        let held = holding
            .hold(request.body.len(), ErrorKind::Overloaded)
            .await;
        held.map_err(|error| error.with_retry_at(self.state.now().after(ROOM_RETRY_DELAY)))
    }

    fn deadline(&self, context: &Context) -> ClockInstant {
        let remaining = context
            .deadline
            .saturating_duration_since(std::time::Instant::now());
        let micros = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        self.state.now().after(TimeBudget::from_micros(micros))
    }
}

impl PeerService for PeerHandler {
    async fn gossip(self, _: Context, request: GossipRequest) -> Result<GossipReply, MeshError> {
        let now = self.state.now();
        record_contact(&self.state);
        let gossip = &self.state.gossip;
        Ok(gossip.step(|node, _| node.handle_gossip(request, now)))
    }

    async fn reconcile(
        self,
        _: Context,
        request: ReconcileRequest,
    ) -> Result<ReconcileReply, MeshError> {
        let now = self.state.now();
        record_contact(&self.state);
        let gossip = &self.state.gossip;
        Ok(gossip.step(|node, rng| node.handle_reconcile(&request, now, rng)))
    }

    async fn probe(self, _: Context, request: ProbeRequest) -> Result<ProbeReply, MeshError> {
        let state = &self.state;
        let now = state.now();
        let from = state
            .gossip
            .step(|node, _| node.handle_contact(&request.from, now));
        // A gossip message without entries probes the target.
        let empty_message = GossipRequest {
            from: from.clone(),
            digest: None,
            members: Vec::new(),
            records: Vec::new(),
        };
        let deadline = now.after(PROBE_TIMEOUT);
        let answer = self
            .pool
            .gossip(request.address, empty_message, deadline)
            .await;
        let is_alive = answer.is_ok_and(|reply| reply.from.node == request.target);
        Ok(ProbeReply { from, is_alive })
    }

    async fn snapshot(
        self,
        _: Context,
        request: SnapshotRequest,
    ) -> Result<SnapshotReply, MeshError> {
        let now = self.state.now();
        let gossip = &self.state.gossip;
        Ok(gossip.step(|node, rng| node.handle_snapshot_request(&request, now, rng)))
    }

    async fn forward(
        self,
        context: Context,
        request: ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        record_contact(&self.state);
        let sent = |error: MeshError| error.sent_at(self.state.now());
        self.state.check_host().map_err(sent)?;
        let deadline = self.deadline(&context);
        let _message = self.hold_message(&request).await.map_err(sent)?;
        let backends = self.forwarder.backends();
        let is_idempotent = backends.is_idempotent(&request);
        let requests = &self.state.requests;
        let in_flight = requests.begin_request(deadline, is_idempotent);
        let _in_flight = in_flight.map_err(sent)?;
        let backend = request
            .backend
            .clone()
            .ok_or_else(|| MeshError::invalid("a forwarded request names no backend server"))?;
        let result = backends.run(&backend, deadline, &request).await;
        result.map_err(|error| error.sent_at(self.state.now()))
    }

    async fn resume(
        self,
        context: Context,
        request: ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let deadline = self.deadline(&context);
        let message = self.hold_message(&request).await;
        let _message = message.map_err(|error| error.sent_at(self.state.now()))?;
        let config = self.state.config().ok_or_else(|| {
            MeshError::new(ErrorKind::NotReady, "the node has no configuration yet")
        })?;
        let rule = config
            .snapshot()
            .routes
            .get(&request.route)
            .ok_or_else(|| {
                let message = format!(
                    "route {} is not in the configuration of this node",
                    request.route
                );
                MeshError::new(ErrorKind::UnknownRoute, message)
            })?;
        let routed = RoutedRequest {
            service: rule.service.clone(),
            deadline,
            idempotent: rule.idempotent,
            max_deliveries: rule.traffic.attempts,
            version_draw: rand::random(),
            is_nested_retry: request.attempt > 1,
            message: request,
        };
        let result = self.forwarder.resume(routed).await;
        result.map_err(|error| error.sent_at(self.state.now()))
    }

    async fn push_record(self, _: Context, record: RecordEntry) -> Result<(), MeshError> {
        self.state.put_record(record.key, record.value).map(|_| ())
    }

    async fn report_evidence(
        self,
        _: Context,
        reports: Vec<EvidenceReport>,
    ) -> Result<(), MeshError> {
        self.state
            .rollout
            .merge_evidence(&reports, self.state.now());
        Ok(())
    }

    async fn report_usage(self, _: Context, report: UsageReport) -> Result<UsageReply, MeshError> {
        self.state.check_lease()?;
        Ok(self.forwarder.usage.serve(&report).await)
    }
}
