//! Tests of the readers of vendors' health and load reports, and of reported health in a mesh.

use bronzelb_emulator::{
    backend::{BackendFaults, ReportFaults},
    http::CallRequest,
    mesh::{BackendSpec, LocalMesh},
};
use bronzelb_kernel::{
    clock::TimeBudget, config::ShareRatio, error::ErrorKind, plugin::ReportReader,
    status::NodeStatus,
};
// The readers register themselves when the daemon is linked.
use bronzelbd as _;

const QUARTER_PPM: u32 = 250_000;

fn read(format: &str, body: &[u8]) -> Result<(bool, u32), ErrorKind> {
    let reader = ReportReader::find(format).expect("the format is registered");
    (reader.read)(body)
        .map(|report| (report.is_healthy, report.load.as_ppm()))
        .map_err(|error| error.kind())
}

#[test]
fn both_formats_report_health_and_load() {
    let json = br#"{"healthy":true,"busy":3,"slots":12,"vendor":"a"}"#;
    assert_eq!(read("json-load", json), Ok((true, QUARTER_PPM)));
    let plain = b"uptime: 4\nhealth: failing\nbusy-slots: 3\ntotal-slots: 12\n";
    assert_eq!(read("plain-status", plain), Ok((false, QUARTER_PPM)));
}

#[test]
fn load_above_all_slots_is_capped_at_full() {
    let json = br#"{"healthy":true,"busy":4294967295,"slots":1}"#;
    assert_eq!(
        read("json-load", json),
        Ok((true, ShareRatio::ALL.as_ppm()))
    );
}

#[test]
fn malformed_reports_are_rejected() {
    let bodies: [&[u8]; 6] = [
        b"",
        b"\xff\xfe",
        b"{}",
        b"health: ok\nbusy-slots: many\ntotal-slots: 12\n",
        b"health: ok\nbusy-slots: 0\ntotal-slots: 0\n",
        br#"{"healthy":true,"busy":0,"slots":0}"#,
    ];
    for format in ["json-load", "plain-status"] {
        for body in bodies {
            assert_eq!(
                read(format, body),
                Err(ErrorKind::Invalid),
                "{format}: {body:?}"
            );
        }
    }
}

const LIMIT: TimeBudget = TimeBudget::from_secs(20);

const ANSWERS: &str = "\
mesh: local
data_centres:
  dc1: {latency: {dc2: 500us}}
  dc2: {}
services:
  tracker: {slots: 12, connections: 110, report_format: plain-status}
routes:
  predictions: {path: /predictions, methods: [GET], service: tracker}
";

/// Returns whether the first backend server in the status has the reported health `healthy`.
fn has_reported_health(status: &NodeStatus, healthy: bool) -> bool {
    let mut rows = status.members.iter().flat_map(|member| &member.backends);
    rows.next()
        .is_some_and(|row| row.is_reported_healthy == healthy)
}

#[actix_web::test]
async fn reported_health_spreads_and_an_unhealthy_last_server_still_gets_requests() {
    let mut mesh = LocalMesh::builder()
        .data_centres(2)
        .start()
        .await
        .expect("starts");
    let nodes = mesh.node_names();
    mesh.publish(ANSWERS).await.expect("is accepted");
    mesh.wait_version(1, LIMIT).await.expect("becomes active");
    let spec = BackendSpec::new("tracker", "v1");
    let backend = mesh.add_backend(&nodes[0], &spec).await.expect("starts");
    mesh.wait_backends("tracker", 1, LIMIT)
        .await
        .expect("is known");

    let faults = BackendFaults {
        report: ReportFaults {
            healthy: Some(false),
            ..ReportFaults::default()
        },
        ..BackendFaults::default()
    };
    mesh.set_backend_faults(&backend, &faults)
        .await
        .expect("are taken");
    mesh.wait_status("an unhealthy report", LIMIT, |status| {
        has_reported_health(status, false)
    })
    .await
    .expect("is known");
    for node in &nodes {
        let response = mesh.call(node, &CallRequest::get("/predictions/1")).await;
        assert_eq!(response.expect("the node responds").status, 200, "{node}");
    }

    let no_faults = BackendFaults::default();
    mesh.set_backend_faults(&backend, &no_faults)
        .await
        .expect("are taken");
    mesh.wait_status("a healthy report", LIMIT, |status| {
        has_reported_health(status, true)
    })
    .await
    .expect("is known");
}
