use std::{
    collections::hash_map::DefaultHasher,
    fs,
    hash::{Hash, Hasher},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use slog::{Logger, info, warn};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time,
};

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    settings::read_settings,
};

/// Interval at which the file is checked for changes that come without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// The same for a node that knows no peer, because the platform may name seeds late.
const LONELY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Reloads the settings file on SIGHUP or when its content changes, until the stop signal.
///
/// Only added seed nodes take effect while the node runs; other changes need a restart.
pub(crate) async fn watch_settings(state: Arc<NodeState>, path: PathBuf, mut stop: StopSignal) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(signal) => Some(signal),
        Err(error) => {
            warn!(state.logger, "{}", EventName::SettingsRefused; "message" => error.to_string());
            None
        }
    };
    let mut last_hash = content_hash(&path);
    loop {
        let is_lonely = state.gossip.read(|node| node.members().len() <= 1);
        let interval = if is_lonely {
            LONELY_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        let is_signalled = tokio::select! {
            () = wait_for_signal(&mut hangups) => true,
            () = time::sleep(interval) => false,
            () = stop.stopped() => return,
        };
        let hash = content_hash(&path);
        if is_signalled || hash != last_hash {
            last_hash = hash;
            reload(&state, &path);
        }
    }
}

/// Waits for the signal, or forever without a handler.
async fn wait_for_signal(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

/// Returns a hash of the file's content, or `None` if it cannot be read.
fn content_hash(path: &Path) -> Option<u64> {
    let content = fs::read(path).ok()?;
    let mut hasher = DefaultHasher::new();
    content.hash(&mut hasher);
    Some(hasher.finish())
}

fn reload(state: &NodeState, path: &Path) {
    let logger: &Logger = &state.logger;
    match read_settings(path) {
        Ok(settings) => {
            let seeds = settings.peers.seeds;
            info!(logger, "{}", EventName::SettingsReloaded; "first_peers" => seeds.len());
            state.gossip.step(|node, _| node.add_seeds(seeds));
        }
        Err(error) => {
            warn!(logger, "{}", EventName::SettingsRefused; "message" => error.to_string());
        }
    }
}
