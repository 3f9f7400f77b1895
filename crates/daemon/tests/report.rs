//! Readers of vendors' health and load reports.

use bronzelb_kernel::{config::ShareRatio, error::ErrorKind, plugin::ReportReader};
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
fn both_formats_tell_health_and_load() {
    let json = br#"{"healthy":true,"busy":3,"slots":12,"vendor":"a"}"#;
    assert_eq!(read("json-load", json), Ok((true, QUARTER_PPM)));
    let plain = b"uptime: 4\nhealth: failing\nbusy-slots: 3\ntotal-slots: 12\n";
    assert_eq!(read("plain-status", plain), Ok((false, QUARTER_PPM)));
}

#[test]
fn load_above_all_slots_counts_as_full() {
    let json = br#"{"healthy":true,"busy":4294967295,"slots":1}"#;
    assert_eq!(
        read("json-load", json),
        Ok((true, ShareRatio::ALL.as_ppm()))
    );
}

#[test]
fn malformed_reports_are_refused() {
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
