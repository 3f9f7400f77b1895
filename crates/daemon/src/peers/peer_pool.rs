use std::{
    cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, rc::Rc, sync::Arc,
    time::Instant,
};

use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    ids::NodeName,
};
use bronzelb_wire::{
    PeerServiceClient,
    peer::{ForwardRequest, ForwardResponse, RecordEntry, UsageReply, UsageReport},
};
use tarpc::{client::RpcError, context};
use tokio::{task::spawn_local, time};

use crate::{
    node::NodeState,
    peers::peer_connection::{OpenedPeer, open_connection},
};

/// Outgoing connections to other nodes, opened on demand; for one thread, shared by clones.
#[derive(Clone)]
pub struct PeerPool {
    state: Arc<NodeState>,
    clients: Rc<RefCell<BTreeMap<SocketAddr, PeerServiceClient>>>,
}

impl PeerPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        Self {
            state,
            clients: Rc::default(),
        }
    }

    /// Forwards a request to a node and returns the backend server's complete response.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, [`ErrorKind::OutcomeUnknown`]
    /// when the connection breaks or the deadline passes after the request was sent, and any error
    /// that the node returns.
    pub async fn forward(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        message: ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let send =
            async |client: PeerServiceClient, context| client.forward(context, message).await;
        self.call(node, deadline, send).await
    }

    /// Forwards a request to the node that owns its idempotency key.
    ///
    /// # Errors
    ///
    /// As [`PeerPool::forward`].
    pub async fn resume(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        message: ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let send = async |client: PeerServiceClient, context| client.resume(context, message).await;
        self.call(node, deadline, send).await
    }

    /// Sends one replicated record to a node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, and any error that it returns.
    pub async fn push_record(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        record: RecordEntry,
    ) -> Result<(), MeshError> {
        let send =
            async |client: PeerServiceClient, context| client.push_record(context, record).await;
        self.call(node, deadline, send).await
    }

    /// Reports the use of client accounts to a node, which grants tokens in reply.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node does not reply by `deadline`, and any error that it
    /// returns.
    pub async fn report_usage(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        report: UsageReport,
    ) -> Result<UsageReply, MeshError> {
        let timeout = deadline.remaining(self.state.now()).to_std();
        let (pool, to) = (self.clone(), node.clone());
        // Opening a connection may take longer than a request can wait. It is completed for the
        // next report; a late reply is dropped.
        let call = spawn_local(async move {
            let send = async |client: PeerServiceClient, context| {
                client.report_usage(context, report).await
            };
            pool.call(&to, deadline, send).await
        });
        match time::timeout(timeout, call).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => {
                let message = format!("node {node} did not answer in time");
                Err(MeshError::new(ErrorKind::NoBackend, message))
            }
        }
    }

    /// Returns whether a connection to the node is open.
    #[must_use]
    pub fn is_connected(&self, node: &NodeName) -> bool {
        self.address(node)
            .is_ok_and(|address| self.clients.borrow().contains_key(&address))
    }

    fn address(&self, node: &NodeName) -> Result<SocketAddr, MeshError> {
        self.state.peer_address_of(node)
    }

    async fn call<T, F>(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        send: impl FnOnce(PeerServiceClient, context::Context) -> F,
    ) -> Result<T, MeshError>
    where
        F: Future<Output = Result<Result<T, MeshError>, RpcError>>,
    {
        let address = self.address(node)?;
        let client = self.client(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + deadline.remaining(self.state.now()).to_std();
        let result = send(client, context).await;
        self.handle_rpc_result(address, result)?
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient, MeshError> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let OpenedPeer { client, dispatch } = open_connection(&self.state, address).await?;
        self.clients.borrow_mut().insert(address, client.clone());
        let clients = Rc::clone(&self.clients);
        spawn_local(async move {
            // Removes a closed connection, so that the next request opens a new one.
            let _ = dispatch.await;
            clients.borrow_mut().remove(&address);
        });
        Ok(client)
    }

    fn handle_rpc_result<T>(
        &self,
        address: SocketAddr,
        result: Result<T, RpcError>,
    ) -> Result<T, MeshError> {
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
