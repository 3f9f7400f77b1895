use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::NodeName,
};
use bronzelb_wire::{
    PeerServiceClient,
    peer::{ForwardRequest, ForwardResponse, RecordEntry, UsageReply, UsageReport},
};
use tarpc::{client::RpcError, context};
use tokio::{sync::watch, task::spawn_local, time};

use crate::{
    holding::RequestHold,
    node::NodeState,
    peers::peer_connection::{OpenedPeer, open_connection, unreachable_error},
};

/// Divisor of the time left that gives the longest wait for a connection to be opened; the rest
/// remains for another server.
const OPENING_WAIT_DIVISOR: u32 = 2;
/// Copies of a request's body while it is sent: the encoded message and its frame.
const MESSAGE_COPIES: usize = 2;
/// Delay after which a caller may retry a request for which there is no room.
pub(super) const ROOM_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(1);

/// Outgoing connections to other nodes, opened on demand; for one thread, shared by clones.
#[derive(Clone)]
pub struct PeerPool {
    state: Arc<NodeState>,
    links: Rc<RefCell<BTreeMap<SocketAddr, PeerLink>>>,
    next_link: Rc<Cell<u64>>,
}

/// Result of opening a connection; `None` while it is being opened.
type OpeningResult = Option<Result<PeerServiceClient, MeshError>>;

/// Connection to a node that is open or being opened.
struct PeerLink {
    /// Number that tells a connection from its successors to the same address.
    number: u64,
    opening: watch::Receiver<OpeningResult>,
}

impl PeerPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        Self {
            state,
            links: Rc::default(),
            next_link: Rc::default(),
        }
    }

    /// Forwards a request to a node and returns the backend server's complete response.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not reachable, [`ErrorKind::Overloaded`] when it
    /// has not accepted a connection after half of the time left, [`ErrorKind::OutcomeUnknown`]
    /// when the connection breaks or the deadline passes after the request was sent,
    /// [`ErrorKind::BackendFailed`] when there is no room for the response, and any error that the
    /// node returns.
    pub async fn forward(
        &self,
        node: &NodeName,
        deadline: ClockInstant,
        message: ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let _copies = self.hold_copies(&message).await?;
        let send =
            async |client: PeerServiceClient, context| client.forward(context, message).await;
        let response = self.call(node, deadline, send).await?;
        self.hold_response(response).await
    }

    /// Counts the copies of a request that is encoded for another node.
    async fn hold_copies(&self, message: &ForwardRequest) -> Result<RequestHold, MeshError> {
        let copies = MESSAGE_COPIES * message.body.len();
        let held = self.state.holding.hold(copies, ErrorKind::Overloaded).await;
        held.map_err(|error| error.with_retry_at(self.state.now().after(ROOM_RETRY_DELAY)))
    }

    async fn hold_response(&self, response: ForwardResponse) -> Result<ForwardResponse, MeshError> {
        let holding = &self.state.holding;
        let body = holding
            .hold_body(response.body, ErrorKind::BackendFailed)
            .await?;
        Ok(ForwardResponse { body, ..response })
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
        let _copies = self.hold_copies(&message).await?;
        let send = async |client: PeerServiceClient, context| client.resume(context, message).await;
        let response = self.call(node, deadline, send).await?;
        self.hold_response(response).await
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
        self.address(node).is_ok_and(|address| {
            self.links
                .borrow()
                .get(&address)
                .is_some_and(PeerLink::is_open)
        })
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
        let client = self.client(address, deadline).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + deadline.remaining(self.state.now()).to_std();
        let result = send(client, context).await;
        self.handle_rpc_result(address, result)?
            .map_err(|error| error.received_at(self.state.now()))
    }

    /// Returns the connection to a node, or an error after half of the time until `deadline`.
    ///
    /// Requests share a connection that is being opened, and it is opened to the end even if they
    /// give up, so that a slow handshake delays the first requests only.
    async fn client(
        &self,
        address: SocketAddr,
        deadline: ClockInstant,
    ) -> Result<PeerServiceClient, MeshError> {
        let opening = self.links.borrow().get(&address).map(PeerLink::opening);
        let mut opening = opening.unwrap_or_else(|| self.open(address));
        let time_left = deadline.remaining(self.state.now()).to_std();
        let opened = opening.wait_for(Option::is_some);
        let Ok(opened) = time::timeout(time_left / OPENING_WAIT_DIVISOR, opened).await else {
            let message = format!("node at {address} has not accepted a connection yet");
            return Err(MeshError::new(ErrorKind::Overloaded, message));
        };
        let result = opened.ok().and_then(|result| result.clone());
        result.unwrap_or_else(|| Err(unreachable_error(address, "the connection was dropped")))
    }

    /// Starts opening a connection.
    fn open(&self, address: SocketAddr) -> watch::Receiver<OpeningResult> {
        let number = self.next_link.replace(self.next_link.get() + 1);
        let (sender, opening) = watch::channel(None);
        let link = PeerLink {
            number,
            opening: opening.clone(),
        };
        self.links.borrow_mut().insert(address, link);
        let pool = self.clone();
        spawn_local(async move {
            match open_connection(&pool.state, address).await {
                Ok(OpenedPeer { client, dispatch }) => {
                    // Requests may have given up.
                    let _ = sender.send(Some(Ok(client)));
                    let _ = dispatch.await;
                    pool.remove(address, number);
                }
                Err(error) => {
                    pool.remove(address, number);
                    let _ = sender.send(Some(Err(error)));
                }
            }
        });
        opening
    }

    /// Removes a connection, unless another one has replaced it.
    fn remove(&self, address: SocketAddr, number: u64) {
        let mut links = self.links.borrow_mut();
        if links
            .get(&address)
            .is_some_and(|link| link.number == number)
        {
            links.remove(&address);
        }
    }

    fn handle_rpc_result<T>(
        &self,
        address: SocketAddr,
        result: Result<T, RpcError>,
    ) -> Result<T, MeshError> {
        result.map_err(|error| {
            if !matches!(error, RpcError::DeadlineExceeded | RpcError::Server(_)) {
                self.links.borrow_mut().remove(&address);
            }
            let kind = match error {
                // The message could not be encoded, so no part of it was sent.
                RpcError::Send(_) => ErrorKind::NoBackend,
                _ => ErrorKind::OutcomeUnknown,
            };
            MeshError::new(kind, format!("node at {address} did not answer: {error}"))
        })
    }
}

impl PeerLink {
    fn opening(&self) -> watch::Receiver<OpeningResult> {
        self.opening.clone()
    }

    fn is_open(&self) -> bool {
        self.opening.borrow().as_ref().is_some_and(Result::is_ok)
    }
}
