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

/// Time between two looks at a file that may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Takes over a changed settings file, at SIGHUP or when its content differs, until the stop
/// signal.
///
/// The first peers change while the node runs; everything else waits for the next start.
pub(crate) async fn watch_settings(state: Arc<NodeState>, path: PathBuf, mut stop: StopSignal) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(signal) => Some(signal),
        Err(error) => {
            warn!(state.logger, "{}", EventName::SettingsRefused; "message" => error.to_string());
            None
        }
    };
    let mut seen = content_hash(&path);
    loop {
        let is_asked = tokio::select! {
            () = hangup(&mut hangups) => true,
            () = time::sleep(LOOK_INTERVAL) => false,
            () = stop.stopped() => return,
        };
        let found = content_hash(&path);
        if is_asked || found != seen {
            seen = found;
            reload(&state, &path);
        }
    }
}

async fn hangup(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

/// Returns a hash of the file's content, `None` while it cannot be read.
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
            let first = settings.peers.first;
            info!(logger, "{}", EventName::SettingsReloaded; "first_peers" => first.len());
            state.spread.step(|node, _| node.add_seeds(first));
        }
        Err(error) => {
            warn!(logger, "{}", EventName::SettingsRefused; "message" => error.to_string());
        }
    }
}
