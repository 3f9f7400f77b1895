use std::{net::SocketAddr, sync::Arc, time::Duration};

use bronzelb_kernel::error::MeshError;
use bronzelb_wire::{PeerService, handshake::accept_peer};
use futures::StreamExt;
use slog::info;
use tarpc::server::{BaseChannel, Channel};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    peers::{peer_handler::PeerHandler, transport::peer_transport},
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other nodes until the stop signal.
pub async fn start_peer_server(state: Arc<NodeState>, listener: TcpListener, mut stop: StopSignal) {
    let handler = PeerHandler::new(Arc::clone(&state));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        match accepted {
            Ok((stream, address)) => {
                spawn_local(serve_peer(handler.clone(), stream, address, stop.clone()));
            }
            // The process is out of file descriptors; accepting resumes once some are free.
            Err(_) => {
                stop.pause(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(
    handler: PeerHandler,
    mut stream: TcpStream,
    address: SocketAddr,
    mut stop: StopSignal,
) {
    let state = Arc::clone(handler.state());
    let key = &state.settings.mesh_key;
    let handshake = accept_peer(&mut stream, key, rand::random());
    let refused = match time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(())) => None,
        Ok(Err(error)) => Some(error),
        Err(_) => Some(MeshError::invalid("the handshake did not end in time")),
    };
    if let Some(error) = refused {
        state.count("peer_refused");
        info!(state.logger, "{}", EventName::PeerRefused;
            "peer" => address.to_string(), "message" => error.to_string());
        return;
    }
    let _ = stream.set_nodelay(true);
    let transport = peer_transport(stream);
    let requests = BaseChannel::with_defaults(transport).execute(handler.serve());
    let answers = requests.for_each(|answer| async {
        spawn_local(answer);
    });
    tokio::select! {
        () = answers => {}
        () = stop.stopped() => {}
    }
}
