use std::{cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, sync::Arc};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    rollout::EvidenceReport,
};
use bronzelb_wire::{
    PeerServiceClient,
    peer::{
        GossipReply, GossipRequest, ProbeReply, ProbeRequest, ReconcileReply, ReconcileRequest,
        SnapshotReply, SnapshotRequest,
    },
};
use tarpc::{client::RpcError, context};
use tokio::{task::spawn_local, time};

use crate::{node::NodeState, peers::open_connection};

const IDLE_TIMEOUT: TimeBudget = TimeBudget::from_secs(10);

/// Outgoing gossip connections of a node, closed when idle.
///
/// Callers' requests use separate connections, so that neither kind of traffic blocks the other.
pub struct GossipPool {
    state: Arc<NodeState>,
    clients: RefCell<BTreeMap<SocketAddr, IdleClient>>,
}

struct IdleClient {
    client: PeerServiceClient,
    idle_deadline: ClockInstant,
}

impl GossipPool {
    /// Creates an empty pool for one thread.
    #[must_use]
    pub const fn new(state: Arc<NodeState>) -> Self {
        Self {
            state,
            clients: RefCell::new(BTreeMap::new()),
        }
    }

    /// Sends a gossip message: a push or an exchange.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node does not answer by `deadline`.
    pub async fn gossip(
        &self,
        address: SocketAddr,
        request: GossipRequest,
        deadline: ClockInstant,
    ) -> Result<GossipReply, MeshError> {
        let send = async |client: PeerServiceClient, context| client.gossip(context, request).await;
        self.call(address, deadline, send).await
    }

    /// Requests the entries that differ between the two nodes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node does not answer by `deadline`.
    pub async fn reconcile(
        &self,
        address: SocketAddr,
        request: ReconcileRequest,
        deadline: ClockInstant,
    ) -> Result<ReconcileReply, MeshError> {
        let send =
            async |client: PeerServiceClient, context| client.reconcile(context, request).await;
        self.call(address, deadline, send).await
    }

    /// Asks the node to probe a third node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node does not answer by `deadline`.
    pub async fn probe(
        &self,
        address: SocketAddr,
        request: ProbeRequest,
        deadline: ClockInstant,
    ) -> Result<ProbeReply, MeshError> {
        let send = async |client: PeerServiceClient, context| client.probe(context, request).await;
        self.call(address, deadline, send).await
    }

    /// Fetches the content of a version.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node does not answer by `deadline`.
    pub async fn snapshot(
        &self,
        address: SocketAddr,
        request: SnapshotRequest,
        deadline: ClockInstant,
    ) -> Result<SnapshotReply, MeshError> {
        let send =
            async |client: PeerServiceClient, context| client.snapshot(context, request).await;
        self.call(address, deadline, send).await
    }

    /// Sends evidence of version moves to a node that judges them.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node does not answer by `deadline`.
    pub async fn report_evidence(
        &self,
        address: SocketAddr,
        reports: Vec<EvidenceReport>,
        deadline: ClockInstant,
    ) -> Result<(), MeshError> {
        let send = async |client: PeerServiceClient, context| {
            client.report_evidence(context, reports).await
        };
        self.call(address, deadline, send).await
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn close_idle(&self, now: ClockInstant) {
        let mut clients = self.clients.borrow_mut();
        clients.retain(|_, idle| !idle.idle_deadline.has_passed(now));
    }

    async fn call<T, F>(
        &self,
        address: SocketAddr,
        deadline: ClockInstant,
        send: impl FnOnce(PeerServiceClient, context::Context) -> F,
    ) -> Result<T, MeshError>
    where
        F: Future<Output = Result<Result<T, MeshError>, RpcError>>,
    {
        let remaining = deadline.remaining(self.state.now()).to_std();
        let exchange = async {
            let client = self.client(address).await?;
            let mut context = context::current();
            context.deadline = std::time::Instant::now() + remaining;
            send(client, context)
                .await
                .map_err(|error| no_answer_error(address, &error.to_string()))
        };
        match time::timeout(remaining, exchange).await {
            Ok(Ok(result)) => result,
            Ok(Err(error)) => {
                self.evict(address);
                Err(error)
            }
            Err(_) => {
                self.evict(address);
                Err(no_answer_error(address, "no answer in time"))
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient, MeshError> {
        let idle_deadline = self.state.now().after(IDLE_TIMEOUT);
        if let Some(idle) = self.clients.borrow_mut().get_mut(&address) {
            idle.idle_deadline = idle_deadline;
            return Ok(idle.client.clone());
        }
        let opened = open_connection(&self.state, address).await?;
        let client = opened.client;
        spawn_local(opened.dispatch);
        let idle = IdleClient {
            client: client.clone(),
            idle_deadline,
        };
        self.clients.borrow_mut().insert(address, idle);
        Ok(client)
    }

    fn evict(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(&address);
    }
}

fn no_answer_error(address: SocketAddr, reason: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NoBackend,
        format!("node at {address} did not answer: {reason}"),
    )
}
