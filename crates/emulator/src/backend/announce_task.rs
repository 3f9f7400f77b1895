use std::{net::SocketAddr, time::Duration};

use awc::Client;
use bronzelb_kernel::{
    ids::{BuildVersion, ServiceName, SlotCount},
    member::BackendState,
};
use serde::{Deserialize, Serialize};

use crate::backend::backend_state::CoreHandle;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const ANNOUNCEMENTS_PER_LEASE: u32 = 3;

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a ServiceName,
    version: &'a BuildVersion,
    address: SocketAddr,
    slots: SlotCount,
    connections: u32,
    state: BackendState,
}

#[derive(Deserialize)]
struct LeaseAnswer {
    lease_ms: u64,
}

/// Announces the server again and again, at once when its state or node changes.
pub(crate) async fn run(core: CoreHandle, address: SocketAddr) {
    let client = Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    loop {
        let (state, node) = announced(&core);
        let pause = match announce(&client, &core, address).await {
            Some(lease) => lease / ANNOUNCEMENTS_PER_LEASE,
            None => RETRY_PAUSE,
        };
        let mut waited = Duration::ZERO;
        while waited < pause && announced(&core) == (state, node) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            waited += CHECK_INTERVAL;
        }
    }
}

/// Announces the server once and returns its lease.
pub(crate) async fn announce(
    client: &Client,
    core: &CoreHandle,
    address: SocketAddr,
) -> Option<Duration> {
    let (state, node) = announced(core);
    if core.lock().plan.faults.is_silent {
        return None;
    }
    let settings = &core.settings;
    let announcement = Announcement {
        service: &settings.service,
        version: &settings.version,
        address: settings.advertise.unwrap_or(address),
        slots: settings.slots,
        connections: settings.connections,
        state,
    };
    let url = format!("http://{}/v1/backends/{}", node?, settings.name);
    let mut response = client.put(url).send_json(&announcement).await.ok()?;
    let answer: LeaseAnswer = response.json().await.ok()?;
    Some(Duration::from_millis(answer.lease_ms))
}

/// Tells the node that the server has left.
pub(crate) async fn leave(core: &CoreHandle) {
    let Some(node) = core.lock().node else {
        return;
    };
    let client = Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    let url = format!("http://{node}/v1/backends/{}", core.settings.name);
    // A node that does not hear this lets the lease lapse.
    let _ = client.delete(url).send().await;
}

fn announced(core: &CoreHandle) -> (BackendState, Option<SocketAddr>) {
    let parts = core.lock();
    (parts.state, parts.node)
}
