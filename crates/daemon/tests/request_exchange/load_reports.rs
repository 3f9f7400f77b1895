//! Load reports that break off, or whose end is in doubt, are not read.

use std::{sync::Arc, time::Duration};

use bronzelb_emulator::server::{RawServer, broken_responses, close_after};
use bronzelb_kernel::{config::ShareRatio, plugin::LoadReport};
use bronzelbd::{node::StopSignal, report::run_reports};
use tokio::{task::spawn_local, time};

use crate::forwarder_harness::ForwarderHarness;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(10);

/// The last line is a part of `total-slots: 12`.
const PART: &str = "health: ok\nbusy-slots: 1\ntotal-slots: 1";
const WHOLE: &str = "health: ok\nbusy-slots: 3\ntotal-slots: 12\n";

#[actix_web::test]
async fn broken_load_report_is_not_read() {
    let mut responses = broken_responses(PART);
    responses.push(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{WHOLE}",
        WHOLE.len()
    ));
    let mut servers = Vec::new();
    for response in &responses {
        let reply = close_after(response.as_str());
        servers.push(RawServer::start(move |_, _| reply.clone()).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let harness = ForwarderHarness::new(&addresses, true);
    let state = harness.forwarder.state();
    let (stop, signal) = StopSignal::channel();
    let reports = spawn_local(run_reports(Arc::clone(state), signal));
    let whole = LoadReport {
        is_healthy: true,
        load: ShareRatio::from_ppm(250_000),
    };
    let reports_of = || {
        let backends = state.backends();
        let entries: Vec<_> = backends
            .iter()
            .map(|(name, entry)| (name.to_string(), entry.report))
            .collect();
        entries
    };
    // All reports of a round are recorded together.
    let is_read = async || {
        while !reports_of()
            .iter()
            .any(|(_, report)| *report == Some(whole))
        {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(TIMEOUT, is_read())
        .await
        .expect("the whole report is read");
    let whole_name = format!("tracker-{}", responses.len() - 1);
    let read: Vec<_> = reports_of()
        .into_iter()
        .filter(|(name, report)| report.is_some() && *name != whole_name)
        .collect();
    assert!(read.is_empty(), "{read:?}");
    drop(stop);
    reports.await.expect("ends");
}
