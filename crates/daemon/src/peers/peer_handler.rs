use std::sync::Arc;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};
use bronzelb_wire::{
    PeerService,
    peer::{
        ForwardAnswer, ForwardRequest, GossipReply, GossipRequest, RecordEntry, SnapshotReply,
        SnapshotRequest,
    },
};
use tarpc::context::Context;

use crate::{
    forward::{PlannedRequest, RequestForwarder},
    gossip::answer_gossip,
    node::NodeState,
};

/// Answers what other nodes ask; clones share one set of connections.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    state: Arc<NodeState>,
    forwarder: RequestForwarder,
}

impl PeerHandler {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        Self {
            forwarder: RequestForwarder::new(Arc::clone(&state)),
            state,
        }
    }

    pub(crate) fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    fn deadline(&self, context: &Context) -> ClockInstant {
        let left = context
            .deadline
            .saturating_duration_since(std::time::Instant::now());
        let micros = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
        self.state.now().after(TimeBudget::from_micros(micros))
    }
}

impl PeerService for PeerHandler {
    async fn gossip(self, _: Context, request: GossipRequest) -> Result<GossipReply, MeshError> {
        Ok(answer_gossip(&self.state, request))
    }

    async fn snapshot(
        self,
        _: Context,
        request: SnapshotRequest,
    ) -> Result<SnapshotReply, MeshError> {
        let config = self
            .state
            .config()
            .filter(|config| config.stamp() == request.stamp)
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::NotFound,
                    format!("version {} is not held", request.stamp.number),
                )
            })?;
        Ok(SnapshotReply {
            stamp: config.stamp(),
            body: config.body().clone(),
        })
    }

    async fn forward(
        self,
        context: Context,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        let _flight = self.state.requests.begin()?;
        let deadline = self.deadline(&context);
        let backend = request
            .backend
            .clone()
            .ok_or_else(|| MeshError::invalid("a forwarded request names no backend server"))?;
        let backends = self.forwarder.backends();
        backends.run(&backend, deadline, &request).await
    }

    async fn resume(
        self,
        context: Context,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        let deadline = self.deadline(&context);
        let config = self.state.config().ok_or_else(|| {
            MeshError::new(ErrorKind::NotReady, "the node has no configuration yet")
        })?;
        let rule = config
            .snapshot()
            .routes
            .get(&request.route)
            .ok_or_else(|| {
                let message = format!("route {} does not exist here", request.route);
                MeshError::new(ErrorKind::UnknownRoute, message)
            })?;
        let planned = PlannedRequest {
            service: rule.service.clone(),
            deadline,
            idempotent: rule.idempotent,
            is_nested_retry: request.attempt > 1,
            message: request,
        };
        self.forwarder.resume(planned).await
    }

    async fn mark(self, _: Context, record: RecordEntry) -> Result<(), MeshError> {
        let mut records = self.state.records();
        records.merge(record.key, &record.value).map(|_| ())
    }
}
