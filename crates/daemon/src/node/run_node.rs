use std::{io, net::TcpListener, path::PathBuf, rc::Rc, sync::Arc};

use actix::System;
use bronzelb_kernel::error::{ErrorKind, MeshError};
use slog::{Logger, info};
use tokio::{
    signal::unix::{self, Signal, SignalKind},
    task::spawn_local,
};

use crate::{
    accounts::run_usage,
    backends::run_health_probes,
    callers::start_caller_server,
    gossip::{GossipPool, run_gossip},
    log::{EventName, LineBatch, NodeLogger},
    node::{
        NodeAddresses, NodeState, StopSignal, drain_node::drain_node,
        watch_settings::watch_settings,
    },
    operators::{start_local_server, start_metric_server, start_operator_server},
    peers::start_peer_server,
    report::run_reports,
    rollout::{run_evidence, run_move_rows, run_rollout},
    settings::NodeSettings,
    source::{run_era_watch, run_operator_feed},
};

/// Runs a node until a termination signal, then shuts it down gracefully.
///
/// The settings file at `path` is watched for changes.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] if a listener cannot be opened or the log's thread cannot be started.
pub fn run_node(settings: NodeSettings, path: PathBuf) -> Result<(), MeshError> {
    let listeners = NodeListeners::open(&settings)?;
    let log_lines = Arc::new(LineBatch::start(io::stdout()).map_err(io_error)?);
    let logger = NodeLogger::build(
        &settings.node,
        &settings.data_centre,
        Arc::clone(&log_lines),
    );
    let state = NodeState::new(settings, listeners.addresses()?, logger);
    let result = System::new().block_on(serve(state, listeners, path));
    log_lines.flush();
    result
}

struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    local: Vec<TcpListener>,
    metrics: Option<TcpListener>,
}

impl NodeListeners {
    fn open(settings: &NodeSettings) -> Result<Self, MeshError> {
        Ok(Self {
            callers: open_listener(settings.callers.listen)?,
            peers: open_listener(settings.peers.listen)?,
            operators: open_listener(settings.operators.listen)?,
            local: match &settings.local {
                Some(local) => vec![
                    open_listener(local.announcements)?,
                    open_listener(local.ready)?,
                ],
                None => Vec::new(),
            },
            metrics: settings.metrics.map(open_listener).transpose()?,
        })
    }

    fn addresses(&self) -> Result<NodeAddresses, MeshError> {
        Ok(NodeAddresses {
            callers: self.callers.local_addr().map_err(io_error)?,
            peers: self.peers.local_addr().map_err(io_error)?,
            operators: self.operators.local_addr().map_err(io_error)?,
        })
    }
}

fn open_listener(address: std::net::SocketAddr) -> Result<TcpListener, MeshError> {
    let listener = TcpListener::bind(address).map_err(|error| {
        MeshError::new(ErrorKind::LocalIo, format!("listener {address}: {error}"))
    })?;
    listener.set_nonblocking(true).map_err(io_error)?;
    Ok(listener)
}

fn io_error(error: std::io::Error) -> MeshError {
    MeshError::new(ErrorKind::LocalIo, error.to_string())
}

async fn serve(
    state: Arc<NodeState>,
    listeners: NodeListeners,
    path: PathBuf,
) -> Result<(), MeshError> {
    let (stop_sender, stop) = StopSignal::channel();
    let (caller_sender, caller_stop) = StopSignal::channel();
    let callers = start_caller_server(Arc::clone(&state), listeners.callers, caller_stop)?;
    let operators = start_operator_server(Arc::clone(&state), listeners.operators)?;
    if let Some(dialect) = state.settings.dialect.local {
        let local = start_local_server(Arc::clone(&state), dialect, listeners.local)?;
        spawn_local(local);
    }
    if let Some(listener) = listeners.metrics {
        spawn_local(start_metric_server(Arc::clone(&state), listener)?);
    }
    let peers = tokio::net::TcpListener::from_std(listeners.peers).map_err(io_error)?;
    let caller_handle = callers.handle();
    let operator_handle = operators.handle();
    spawn_local(callers);
    spawn_local(operators);
    let pool = Rc::new(GossipPool::new(Arc::clone(&state)));
    spawn_local(start_peer_server(
        Arc::clone(&state),
        Rc::clone(&pool),
        peers,
        stop.clone(),
    ));
    spawn_local(run_health_probes(Arc::clone(&state), stop.clone()));
    spawn_local(run_reports(Arc::clone(&state), stop.clone()));
    spawn_local(run_rollout(Arc::clone(&state), stop.clone()));
    spawn_local(run_evidence(
        Arc::clone(&state),
        Rc::clone(&pool),
        stop.clone(),
    ));
    spawn_local(run_operator_feed(Arc::clone(&state), stop.clone()));
    spawn_local(run_era_watch(Arc::clone(&state), stop.clone()));
    spawn_local(watch_settings(Arc::clone(&state), path, stop.clone()));
    spawn_local(run_usage(Arc::clone(&state), stop.clone()));
    spawn_local(run_move_rows(Arc::clone(&state), stop.clone()));
    let gossip_task = spawn_local(run_gossip(Arc::clone(&state), pool, stop));
    log_listening(&state);
    let mut signals = TerminationSignals::open()?;
    signals.recv().await;
    tokio::select! {
        () = drain_node(&state, &caller_handle, caller_sender) => {}
        // A second signal skips the rest of the drain.
        () = signals.recv() => {}
    }
    drop(stop_sender);
    // The task ends once it has announced to the mesh that this node leaves.
    let _ = gossip_task.await;
    operator_handle.stop(false).await;
    info!(state.logger, "{}", EventName::Stopped);
    Ok(())
}

fn log_listening(state: &NodeState) {
    let addresses = state.addresses;
    let logger: &Logger = &state.logger;
    info!(logger, "{}", EventName::Listening;
        "callers" => addresses.callers.to_string(),
        "peers" => addresses.peers.to_string(),
        "operators" => addresses.operators.to_string());
}

struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    fn open() -> Result<Self, MeshError> {
        Ok(Self {
            terminate: unix::signal(SignalKind::terminate()).map_err(io_error)?,
            interrupt: unix::signal(SignalKind::interrupt()).map_err(io_error)?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
