use std::sync::{Arc, atomic::Ordering};

use tokio::net::{TcpListener, TcpStream};

use crate::proxy::{
    forward::forward_connection,
    proxy_connection::ProxyConnection,
    proxy_state::{ListenerState, StateHandle},
};

/// Accepts and proxies connections until the process exits.
pub(crate) async fn run(state: StateHandle, listener: Arc<ListenerState>, socket: TcpListener) {
    loop {
        let Ok((stream, source)) = socket.accept().await else {
            continue;
        };
        listener
            .counters
            .connections
            .fetch_add(1, Ordering::Relaxed);
        let connection = ProxyConnection::new(state.clone(), Arc::clone(&listener), source.ip());
        actix_web::rt::spawn(run_connection(stream, connection));
    }
}

async fn run_connection(stream: TcpStream, connection: ProxyConnection) {
    let listener = Arc::clone(&connection.listener);
    let is_broken = tokio::select! {
        biased;
        () = connection.clone().wait_cut() => true,
        result = forward_connection(stream, connection) => result.is_err(),
    };
    if is_broken {
        listener.counters.broken.fetch_add(1, Ordering::Relaxed);
    }
}
