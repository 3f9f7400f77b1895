use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::{Client, http::Method};
use bronzelb_http::{read_body, strict_connector};
use bronzelb_kernel::{
    ids::{BackendName, ServiceName},
    plugin::{LoadReport, ReportReader},
};
use bytes::Bytes;
use futures::future;
use tokio::time;

use crate::node::{NodeState, StopSignal};

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPORT_BYTES: usize = 64 * 1024;

struct PolledBackend {
    name: BackendName,
    service: ServiceName,
    address: SocketAddr,
}

/// Polls the reports of this VM's backend servers until the stop signal.
///
/// At the same interval it publishes the servers' request times to the mesh and logs how many log
/// lines were suppressed.
pub async fn run_reports(state: Arc<NodeState>, mut stop: StopSignal) {
    let client = Client::builder()
        .connector(strict_connector())
        .disable_redirects()
        .timeout(READ_TIMEOUT)
        .finish();
    while stop.tick(POLL_INTERVAL).await {
        state.publish_times();
        state.log_suppressed();
        let backends = polled_backends(&state);
        let pending = backends
            .iter()
            .map(|backend| read_report(&state, &client, backend));
        let reports = future::join_all(pending).await;
        let mut is_changed = false;
        for (backend, report) in backends.iter().zip(reports) {
            is_changed |= state.backends().record_report(&backend.name, report);
        }
        if is_changed {
            state.publish_backends();
        }
    }
}

fn polled_backends(state: &NodeState) -> Vec<PolledBackend> {
    state
        .backends()
        .iter()
        .map(|(name, entry)| PolledBackend {
            name: name.clone(),
            service: entry.announcement.service.clone(),
            address: entry.announcement.address,
        })
        .collect()
}

/// Reads one report. A missing or unreadable one is counted and returned as `None`.
async fn read_report(
    state: &NodeState,
    client: &Client,
    backend: &PolledBackend,
) -> Option<LoadReport> {
    let config = state.config()?;
    let spec = config.snapshot().services.get(&backend.service)?;
    let reader = ReportReader::find(&spec.report_format).ok()?;
    let body = time::timeout(
        READ_TIMEOUT,
        fetch_report(client, backend.address, reader.path),
    )
    .await;
    let report = body
        .ok()
        .flatten()
        .and_then(|body| (reader.read)(&body).ok());
    if report.is_none() {
        state.count("report_unreadable");
    }
    report
}

async fn fetch_report(client: &Client, address: SocketAddr, path: &str) -> Option<Bytes> {
    let request = client.get(format!("http://{address}{path}"));
    let mut response = request.send().await.ok()?;
    let body = read_body(&Method::GET, &mut response, MAX_REPORT_BYTES);
    let body = body.await.ok()?;
    response.status().is_success().then_some(body)
}
