use std::sync::{Arc, atomic::Ordering};

use tokio::net::{TcpListener, TcpStream};

use crate::proxy::{
    proxy_link::ProxyLink,
    proxy_state::{ListenerState, StateHandle},
    pump::pump_both,
};

/// Accepts connections until the process ends.
pub(crate) async fn run(state: StateHandle, listener: Arc<ListenerState>, socket: TcpListener) {
    loop {
        let Ok((stream, source)) = socket.accept().await else {
            continue;
        };
        listener
            .counters
            .connections
            .fetch_add(1, Ordering::Relaxed);
        let link = ProxyLink::new(state.clone(), Arc::clone(&listener), source.ip());
        actix_web::rt::spawn(run_link(stream, link));
    }
}

async fn run_link(stream: TcpStream, link: ProxyLink) {
    let counters = Arc::clone(&link.listener);
    let is_broken = tokio::select! {
        biased;
        () = link.clone().until_cut() => true,
        result = pump_both(stream, link) => result.is_err(),
    };
    if is_broken {
        counters.counters.broken.fetch_add(1, Ordering::Relaxed);
    }
}
