use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
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
    handshake::connect_peer,
    peer::{
        ForwardAnswer, ForwardRequest, GossipReply, GossipRequest, RecordEntry, SnapshotReply,
        SnapshotRequest,
    },
};
use tarpc::{
    client,
    client::{NewClient, RpcError},
    context,
};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::spawn_local,
    time,
};

use crate::{node::NodeState, peers::transport::peer_transport};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(2);
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Outgoing connections to other nodes, opened on demand, for one thread; clones share them.
#[derive(Clone)]
pub struct PeerPool {
    state: Arc<NodeState>,
    clients: Rc<RefCell<BTreeMap<SocketAddr, PeerServiceClient>>>,
}

impl PeerPool {
    /// Builds an empty pool.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        Self {
            state,
            clients: Rc::default(),
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

    /// Passes a request to the node that holds its idempotency key.
    ///
    /// # Errors
    ///
    /// As [`PeerPool::forward`].
    pub async fn resume(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        message: ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        let address = self.address(node)?;
        let client = self.client(address).await?;
        let context = context_until(deadline.left(self.state.now()).to_std());
        let result = client.resume(context, message).await;
        self.settle(address, result)?
    }

    /// Sends one replicated record to a node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, and whatever it answers.
    pub async fn mark(
        &self,
        node: &NodeName,
        timeout: Duration,
        record: RecordEntry,
    ) -> Result<(), MeshError> {
        let address = self.address(node)?;
        let client = self.client(address).await?;
        let result = client.mark(context_until(timeout), record).await;
        self.settle(address, result)?
    }

    /// Exchanges gossip with the node at `address`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, and whatever it answers.
    pub async fn gossip(
        &self,
        address: SocketAddr,
        message: GossipRequest,
    ) -> Result<GossipReply, MeshError> {
        let client = self.client(address).await?;
        let result = client.gossip(context_until(GOSSIP_TIMEOUT), message).await;
        self.settle(address, result)?
    }

    /// Fetches a configuration version's content from the node at `address`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, and whatever it answers.
    pub async fn snapshot(
        &self,
        address: SocketAddr,
        message: SnapshotRequest,
    ) -> Result<SnapshotReply, MeshError> {
        let client = self.client(address).await?;
        let result = client
            .snapshot(context_until(SNAPSHOT_TIMEOUT), message)
            .await;
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
        let stream = time::timeout(CONNECT_TIMEOUT, self.connect(address))
            .await
            .map_err(|_| unreachable(address, "no answer in time"))??;
        let transport = peer_transport(stream);
        let NewClient { client, dispatch } =
            PeerServiceClient::new(client::Config::default(), transport);
        self.clients.borrow_mut().insert(address, client.clone());
        let clients = Rc::clone(&self.clients);
        spawn_local(async move {
            // Once the connection has ended, the next request opens a new one.
            let _ = dispatch.await;
            clients.borrow_mut().remove(&address);
        });
        Ok(client)
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, MeshError> {
        let own_ip = self.state.settings.peers.listen.ip();
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(|error| unreachable(address, &error.to_string()))?;
        if own_ip.is_ipv4() == address.is_ipv4() {
            socket
                .bind(SocketAddr::new(own_ip, 0))
                .map_err(|error| unreachable(address, &error.to_string()))?;
        }
        let mut stream = socket
            .connect(address)
            .await
            .map_err(|error| unreachable(address, &error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(address, &error.to_string()))?;
        connect_peer(&mut stream, &self.state.settings.mesh_key, rand::random()).await?;
        Ok(stream)
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

fn unreachable(address: SocketAddr, reason: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NoBackend,
        format!("node at {address} is not reachable: {reason}"),
    )
}
