use std::{rc::Rc, sync::Arc};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};
use bronzelb_wire::{
    PeerService,
    peer::{
        ForwardAnswer, ForwardRequest, GossipReply, GossipRequest, SnapshotReply, SnapshotRequest,
    },
};
use tarpc::context::Context;

use crate::{forward::BackendClient, gossip::answer_gossip, node::NodeState};

/// Answers what other nodes ask; clones share one set of connections.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    state: Arc<NodeState>,
    backends: Rc<BackendClient>,
}

impl PeerHandler {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        Self {
            backends: Rc::new(BackendClient::new(Arc::clone(&state))),
            state,
        }
    }

    pub(crate) fn state(&self) -> &Arc<NodeState> {
        &self.state
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
