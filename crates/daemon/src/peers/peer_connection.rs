use std::{net::SocketAddr, time::Duration};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use bronzelb_wire::{
    PeerServiceClient,
    handshake::connect_peer,
    peer::{PeerServiceRequest, PeerServiceResponse},
};
use socket2::{SockRef, TcpKeepalive};
use tarpc::{
    ClientMessage, Response,
    client::{self, NewClient},
};
use tokio::{
    net::{TcpSocket, TcpStream},
    time,
};

use crate::{
    node::NodeState,
    peers::{
        counted_stream::CountedStream,
        peer_transport::{PeerTransport, peer_transport},
    },
};

/// Some hundred round trips within a region; a partitioned peer does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that sent bytes may stay unacknowledged before the connection is closed. It allows
/// for two consecutive lost packets, which are retransmitted after 200 and 400 ms, and still leaves
/// time for another server to answer while the caller waits.
const UNACKED_DATA_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest interval between keepalive probes that the operating system allows.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Outgoing connection: the client, and the dispatch task that sends and receives its messages.
///
/// The connection is open while the dispatch task runs.
pub(crate) type OpenedPeer = NewClient<PeerServiceClient, PeerDispatch>;

type PeerDispatch = client::RequestDispatch<
    PeerServiceRequest,
    PeerServiceResponse,
    PeerTransport<Response<PeerServiceResponse>, ClientMessage<PeerServiceRequest>>,
>;

/// Opens an authenticated connection to the node at `address`.
///
/// # Errors
///
/// [`ErrorKind::NoBackend`] when the node is not reachable in time, and those of the handshake.
pub(crate) async fn open_connection(
    state: &NodeState,
    address: SocketAddr,
) -> Result<OpenedPeer, MeshError> {
    let stream = time::timeout(CONNECT_TIMEOUT, connect(state, address))
        .await
        .map_err(|_| unreachable_error(address, "no answer in time"))??;
    let transport = peer_transport(stream);
    Ok(PeerServiceClient::new(client::Config::default(), transport))
}

async fn connect(state: &NodeState, address: SocketAddr) -> Result<CountedStream, MeshError> {
    let stream = dial(state.settings.peers.listen, address)
        .await
        .map_err(|error| unreachable_error(address, &error.to_string()))?;
    let mut stream = CountedStream::new(stream, state.peer_traffic.clone());
    connect_peer(&mut stream, &state.settings.mesh_key, rand::random()).await?;
    Ok(stream)
}

async fn dial(own: SocketAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    if own.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(own.ip(), 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    set_dead_peer_timeouts(&stream)?;
    Ok(stream)
}

/// Sets TCP keepalive and user timeouts, so that the system closes connections to dead peers.
pub(crate) fn set_dead_peer_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_DATA_TIMEOUT))
}

pub(crate) fn unreachable_error(address: SocketAddr, reason: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NoBackend,
        format!("node at {address} is not reachable: {reason}"),
    )
}
