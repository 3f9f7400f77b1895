use std::{io, net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration};

use bronzelb_kernel::{error::MeshError, holding::ConnectionKind};
use bronzelb_wire::{PeerService, handshake::accept_peer};
use futures::StreamExt;
use slog::info;
use tarpc::{
    ChannelError,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use crate::{
    gossip::GossipPool,
    log::EventName,
    node::{NodeState, StopSignal},
    peers::{
        counted_stream::CountedStream, peer_handler::PeerHandler, peer_transport::peer_transport,
        set_dead_peer_timeouts,
    },
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from other nodes until the stop signal.
pub async fn start_peer_server(
    state: Arc<NodeState>,
    pool: Rc<GossipPool>,
    listener: TcpListener,
    mut stop: StopSignal,
) {
    let handler = PeerHandler::new(Arc::clone(&state), pool);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        match accepted {
            Ok((stream, address)) => {
                spawn_local(serve_peer(handler.clone(), stream, address, stop.clone()));
            }
            // The process is out of file descriptors; accepting is retried until some are free.
            Err(_) => {
                stop.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(
    handler: PeerHandler,
    stream: TcpStream,
    address: SocketAddr,
    mut stop: StopSignal,
) {
    let state = Arc::clone(handler.state());
    let Some(mut hold) = state.holding.add_connection(ConnectionKind::Handshake) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    if let Err(error) = set_dead_peer_timeouts(&stream) {
        report_refused_peer(&state, address, &error.to_string());
        return;
    }
    let mut stream = CountedStream::new(stream, state.peer_traffic.clone());
    let key = &state.settings.mesh_key;
    let handshake = accept_peer(&mut stream, key, rand::random());
    let refused = tokio::select! {
        result = time::timeout(HANDSHAKE_TIMEOUT, handshake) => match result {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error),
            Err(_) => Some(MeshError::invalid("the handshake timed out")),
        },
        // Counted by the account.
        () = hold.closed() => return,
    };
    // An authenticated node is not a client.
    drop(hold);
    if let Some(error) = refused {
        report_refused_peer(&state, address, &error.to_string());
        return;
    }
    tokio::select! {
        () = serve_requests(handler, stream, address) => {}
        () = stop.stopped() => {}
    }
}

async fn serve_requests(handler: PeerHandler, stream: CountedStream, address: SocketAddr) {
    let channel = BaseChannel::with_defaults(peer_transport(stream));
    let mut requests = pin!(channel.requests());
    while let Some(next) = requests.next().await {
        match next {
            Ok(request) => {
                spawn_local(request.execute(handler.clone().serve()));
            }
            Err(error) => {
                report_channel_error(handler.state(), address, &error);
                return;
            }
        }
    }
}

/// Reports a malformed or oversized message; lost connections are not logged.
fn report_channel_error(state: &NodeState, address: SocketAddr, error: &ChannelError<io::Error>) {
    let ChannelError::Read(cause) = error else {
        return;
    };
    if is_malformed(cause) {
        report_refused_peer(state, address, &cause.to_string());
    }
}

/// Returns whether the error, or an error that it wraps, reports invalid data.
///
/// Wrapped errors are reached with `get_ref`, since `source` skips the outermost of them.
fn is_malformed(error: &io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    error.kind() == io::ErrorKind::InvalidData || inner.is_some_and(is_malformed)
}

fn report_refused_peer(state: &NodeState, address: SocketAddr, message: &str) {
    state.count("peer_refused");
    info!(state.logger, "{}", EventName::PeerRefused;
        "peer" => address.to_string(), "message" => message.to_owned());
}
