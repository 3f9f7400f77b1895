use std::{net::SocketAddr, sync::Arc, time::Duration};

use bronzelb_kernel::{
    config::{ConfigVersion, VersionStamp},
    error::MeshError,
};
use bronzelb_wire::peer::{GossipRequest, SnapshotRequest};
use rand::seq::IndexedRandom;
use slog::info;

use crate::{
    gossip::answer_gossip::held_records,
    log::EventName,
    node::{NodeState, StopSignal},
    peers::PeerPool,
};

const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Exchanges gossip with one random node after another until the stop signal.
pub async fn run_gossip(state: Arc<NodeState>, mut stop: StopSignal) {
    let pool = PeerPool::new(Arc::clone(&state));
    while stop.pause(GOSSIP_INTERVAL).await {
        expire_backends(&state);
        let Some(address) = choose_peer(&state) else {
            continue;
        };
        // An unreachable peer is tried again by a later round.
        let _ = exchange(&state, &pool, address).await;
    }
}

fn expire_backends(state: &NodeState) {
    let lapsed = state.backends().expire(state.now());
    for name in &lapsed {
        info!(state.logger, "{}", EventName::BackendLeft; "backend" => name.to_string());
    }
    if !lapsed.is_empty() {
        state.refresh_own_row();
    }
}

fn choose_peer(state: &NodeState) -> Option<SocketAddr> {
    let own = state.peer_address();
    let known = state
        .members()
        .iter()
        .map(|row| row.peer_address)
        .collect::<Vec<_>>();
    let addresses: Vec<_> = known
        .into_iter()
        .chain(state.settings.peers.first.iter().copied())
        .filter(|address| *address != own)
        .collect();
    addresses.choose(&mut rand::rng()).copied()
}

async fn exchange(
    state: &NodeState,
    pool: &PeerPool,
    address: SocketAddr,
) -> Result<(), MeshError> {
    let request = GossipRequest {
        from: state.settings.node.clone(),
        stamp: state.config().map(|config| config.stamp()),
        members: state.members().iter().cloned().collect(),
        records: held_records(state),
    };
    let reply = pool.gossip(address, request).await?;
    {
        let mut members = state.members();
        for row in reply.members {
            members.merge(row);
        }
    }
    {
        let mut records = state.records();
        for entry in reply.records {
            records.merge(entry.key, &entry.value)?;
        }
    }
    match reply.stamp {
        Some(stamp) if is_wanted(state, stamp) => fetch(state, pool, address, stamp).await,
        _ => Ok(()),
    }
}

fn is_wanted(state: &NodeState, stamp: VersionStamp) -> bool {
    state
        .config()
        .is_none_or(|config| config.stamp().number < stamp.number)
}

async fn fetch(
    state: &NodeState,
    pool: &PeerPool,
    address: SocketAddr,
    stamp: VersionStamp,
) -> Result<(), MeshError> {
    let reply = pool.snapshot(address, SnapshotRequest { stamp }).await?;
    let version = ConfigVersion::from_bytes(stamp, reply.body)?;
    if state.apply_config(version) {
        state.refresh_own_row();
    }
    Ok(())
}
