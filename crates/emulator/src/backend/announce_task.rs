use std::{net::SocketAddr, time::Duration};

use awc::{Client, http::Method};
use bronzelb_http::{read_body, strict_connector};
use bronzelb_kernel::{
    ids::{BuildVersion, ServiceName, SlotCount},
    member::BackendState,
};
use serde::{Deserialize, Serialize};

use crate::backend::emulated_backend::BackendHandle;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Size limit of a node's response to an announcement.
const MAX_LEASE_BYTES: usize = 64 * 1024;
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
struct LeaseResponse {
    lease_ms: u64,
}

/// Renews the server's announcement several times per lease, and at once when its state or node
/// changes.
pub(crate) async fn run(backend: BackendHandle, address: SocketAddr) {
    let client = announce_client();
    loop {
        let (state, node) = announced_state(&backend);
        let interval = match announce(&client, &backend, address).await {
            Some(lease) => lease / ANNOUNCEMENTS_PER_LEASE,
            None => RETRY_INTERVAL,
        };
        let mut waited = Duration::ZERO;
        while waited < interval && announced_state(&backend) == (state, node) {
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
    }
}

/// Returns a client for announcements to a node.
pub(crate) fn announce_client() -> Client {
    Client::builder()
        .connector(strict_connector())
        .timeout(ANNOUNCE_TIMEOUT)
        .finish()
}

/// Announces the server once and returns the lease duration, or `None` if the node did not accept
/// the announcement or a fault suppresses it.
pub(crate) async fn announce(
    client: &Client,
    backend: &BackendHandle,
    address: SocketAddr,
) -> Option<Duration> {
    let (state, node) = announced_state(backend);
    if backend.lock().selector.faults.is_silent {
        return None;
    }
    let settings = &backend.settings;
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
    let body = read_body(&Method::PUT, &mut response, MAX_LEASE_BYTES);
    let lease: LeaseResponse = serde_json::from_slice(&body.await.ok()?).ok()?;
    Some(Duration::from_millis(lease.lease_ms))
}

/// Deregisters the server from its node.
pub(crate) async fn deregister(backend: &BackendHandle) {
    let Some(node) = backend.lock().node else {
        return;
    };
    let client = announce_client();
    let url = format!("http://{node}/v1/backends/{}", backend.settings.name);
    // If the request is lost, the node removes the server when its lease expires.
    let _ = client.delete(url).send().await;
}

fn announced_state(backend: &BackendHandle) -> (BackendState, Option<SocketAddr>) {
    let state = backend.lock();
    (state.lifecycle, state.node)
}
