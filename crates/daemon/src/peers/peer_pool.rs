use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    ids::NodeName,
};
use bronzelb_wire::{
    PeerServiceClient,
    peer::{ForwardAnswer, ForwardRequest},
};
use tarpc::{client::RpcError, context};

use crate::{node::NodeState, peers::open_connection};

/// Outgoing connections to other nodes, opened on demand, for one thread.
pub struct PeerPool {
    state: Arc<NodeState>,
    clients: RefCell<BTreeMap<SocketAddr, PeerServiceClient>>,
}

impl PeerPool {
    /// Builds an empty pool.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        Self {
            state,
            clients: RefCell::default(),
        }
    }

    /// Passes a request to a node and returns the backend server's whole answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, [`ErrorKind::OutcomeUnknown`]
    /// when the connection breaks or the deadline passes after the request was sent, and whatever
    /// the node answers.
    pub async fn forward(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        message: ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        let address = self.address(node)?;
        let client = self.client(address).await?;
        let context = context_until(deadline.left(self.state.now()).to_std());
        let result = client.forward(context, message).await;
        self.settle(address, result)?
    }

    fn address(&self, node: &NodeName) -> Result<SocketAddr, MeshError> {
        let members = self.state.members();
        let row = members.get(node).ok_or_else(|| {
            MeshError::new(ErrorKind::NoBackend, format!("node {node} is not known"))
        })?;
        Ok(row.peer_address)
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient, MeshError> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let client = open_connection(&self.state, address).await?;
        self.clients.borrow_mut().insert(address, client.clone());
        Ok(client)
    }

    fn settle<T>(&self, address: SocketAddr, result: Result<T, RpcError>) -> Result<T, MeshError> {
        result.map_err(|error| {
            if !matches!(error, RpcError::DeadlineExceeded | RpcError::Server(_)) {
                self.clients.borrow_mut().remove(&address);
            }
            MeshError::new(
                ErrorKind::OutcomeUnknown,
                format!("node at {address} did not answer: {error}"),
            )
        })
    }
}

fn context_until(left: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + left;
    context
}
