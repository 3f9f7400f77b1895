use std::sync::Arc;

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    ids::{BackendName, NodeName, ServiceName},
    member::{BackendState, MemberState},
};
use bronzelb_wire::peer::ForwardAnswer;
use rand::seq::IndexedRandom;

use crate::{
    forward::{BackendClient, PlannedRequest},
    node::NodeState,
    peers::PeerPool,
};

const RETRY_PAUSE: TimeBudget = TimeBudget::from_millis(500);

/// Runs callers' requests: chooses a backend server and passes the request to it.
///
/// Each worker thread has its own forwarder, with its own connections.
pub struct RequestForwarder {
    state: Arc<NodeState>,
    backends: BackendClient,
    peers: PeerPool,
}

impl RequestForwarder {
    /// Builds a forwarder for one thread.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        Self {
            backends: BackendClient::new(Arc::clone(&state)),
            peers: PeerPool::new(Arc::clone(&state)),
            state,
        }
    }

    /// Returns the node's shared state.
    #[must_use]
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Runs a request and returns the backend server's whole answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when no server of the service is known, and whatever the exchange
    /// with the chosen server gives.
    pub async fn run(&self, planned: PlannedRequest) -> Result<ForwardAnswer, MeshError> {
        let target = self.choose(&planned.service)?;
        let mut message = planned.message;
        message.backend = Some(target.backend.clone());
        if target.node == self.state.settings.node {
            return self
                .backends
                .run(&target.backend, planned.deadline, &message)
                .await;
        }
        self.peers
            .forward(&target.node, planned.deadline, message)
            .await
    }

    fn choose(&self, service: &ServiceName) -> Result<ChosenTarget, MeshError> {
        let members = self.state.members();
        let targets: Vec<_> = members
            .iter()
            .filter(|row| row.state == MemberState::Serving)
            .flat_map(|row| row.backends.iter().map(move |backend| (row, backend)))
            .filter(|(_, backend)| backend.service == *service)
            .filter(|(_, backend)| backend.state == BackendState::Serving)
            .collect();
        let (row, backend) = targets.choose(&mut rand::rng()).ok_or_else(|| {
            MeshError::new(
                ErrorKind::NoBackend,
                format!("no backend server of service {service} is known"),
            )
            .with_retry_at(self.state.now().after(RETRY_PAUSE))
        })?;
        Ok(ChosenTarget {
            node: row.node.clone(),
            backend: backend.name.clone(),
        })
    }
}

struct ChosenTarget {
    node: NodeName,
    backend: BackendName,
}
