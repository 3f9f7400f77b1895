use std::{rc::Rc, sync::Arc};

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};
use bronzelb_wire::{
    PeerService,
    peer::{
        ForwardAnswer, ForwardRequest, GossipReply, GossipRequest, ProbeReply, ProbeRequest,
        ReconcileReply, ReconcileRequest, SnapshotReply, SnapshotRequest,
    },
};
use tarpc::context::Context;

use crate::{forward::BackendClient, gossip::GossipPool, node::NodeState};

const PROBE_BUDGET: TimeBudget = TimeBudget::from_millis(500);

/// Answers what other nodes ask; clones share one set of connections.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    state: Arc<NodeState>,
    backends: Rc<BackendClient>,
    pool: Rc<GossipPool>,
}

impl PeerHandler {
    pub(crate) fn new(state: Arc<NodeState>, pool: Rc<GossipPool>) -> Self {
        Self {
            backends: Rc::new(BackendClient::new(Arc::clone(&state))),
            state,
            pool,
        }
    }

    pub(crate) fn state(&self) -> &Arc<NodeState> {
        &self.state
    }
}

impl PeerService for PeerHandler {
    async fn gossip(self, _: Context, request: GossipRequest) -> Result<GossipReply, MeshError> {
        let now = self.state.now();
        let spread = &self.state.spread;
        Ok(spread.step(|node, _| node.receive_gossip(request, now)))
    }

    async fn reconcile(
        self,
        _: Context,
        request: ReconcileRequest,
    ) -> Result<ReconcileReply, MeshError> {
        let now = self.state.now();
        let spread = &self.state.spread;
        Ok(spread.step(|node, rng| node.receive_reconcile(&request, now, rng)))
    }

    async fn probe(self, _: Context, request: ProbeRequest) -> Result<ProbeReply, MeshError> {
        let state = &self.state;
        let now = state.now();
        let from = state
            .spread
            .step(|node, _| node.receive_contact(&request.from, now));
        let contact = GossipRequest {
            from: from.clone(),
            digest: None,
            members: Vec::new(),
            records: Vec::new(),
        };
        let deadline = now.after(PROBE_BUDGET);
        let answer = self.pool.gossip(request.address, contact, deadline).await;
        let is_alive = answer.is_ok_and(|reply| reply.from.node == request.target);
        Ok(ProbeReply { from, is_alive })
    }

    async fn snapshot(
        self,
        _: Context,
        request: SnapshotRequest,
    ) -> Result<SnapshotReply, MeshError> {
        let now = self.state.now();
        let spread = &self.state.spread;
        Ok(spread.step(|node, rng| node.receive_snapshot(&request, now, rng)))
    }

    async fn forward(
        self,
        context: Context,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        self.state.check_lease()?;
        let left = context
            .deadline
            .saturating_duration_since(std::time::Instant::now());
        let left = TimeBudget::from_micros(u64::try_from(left.as_micros()).unwrap_or(u64::MAX));
        let deadline = self.state.now().after(left);
        let backend = request
            .backend
            .clone()
            .ok_or_else(|| MeshError::invalid("a forwarded request names no backend server"))?;
        self.backends.run(&backend, deadline, &request).await
    }
}
