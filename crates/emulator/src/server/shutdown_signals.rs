use actix_web::dev::Server;
use bronzelb_kernel::error::MeshError;
use futures::future::{join_all, try_join_all};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::server::local_error;

/// Handlers of SIGTERM and SIGINT.
///
/// A stand-in registers them before it prints its addresses, since whoever reads these may signal
/// the process at once, and a signal without a handler kills it.
pub(crate) struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Registers the handlers.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the operating system rejects a handler.
    pub(crate) fn register() -> Result<Self, MeshError> {
        let register = |kind, name| {
            signal(kind).map_err(|error| local_error(&format!("register {name} handler"), &error))
        };
        Ok(Self {
            terminate: register(SignalKind::terminate(), "SIGTERM")?,
            interrupt: register(SignalKind::interrupt(), "SIGINT")?,
        })
    }

    /// Waits for the first signal.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Runs servers that have no signal handlers of their own until a signal, then stops them
    /// gracefully.
    ///
    /// # Errors
    ///
    /// `LocalIo` when a server fails before that.
    pub(crate) async fn run_servers(mut self, servers: Vec<Server>) -> Result<(), MeshError> {
        let handles: Vec<_> = servers.iter().map(Server::handle).collect();
        let stop = async {
            self.recv().await;
            join_all(handles.iter().map(|handle| handle.stop(true))).await;
        };
        tokio::select! {
            result = try_join_all(servers) => result.map(|_| ()),
            () = stop => Ok(()),
        }
        .map_err(|error| local_error("run the HTTP servers", &error))
    }
}
