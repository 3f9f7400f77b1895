//! Tests of the platform stand-in through the platform client.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use bronzelb_emulator::{
    platform::{LostResponses, PlatformAddresses, PlatformCounters, PlatformFaults},
    server::wall_clock,
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::ErrorKind,
    ids::AttemptToken,
};
use bronzelb_store::{
    PlatformClient, PlatformTarget,
    table::{RowKey, RowPrecondition, RowRevision, RowWrite},
};
use bytes::Bytes;

/// Process of a platform stand-in, killed on drop.
struct PlatformProcess {
    child: Child,
    addresses: PlatformAddresses,
}

impl PlatformProcess {
    fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bronzelb-emulator"))
            .arg("platform")
            .stdout(Stdio::piped())
            .spawn()
            .expect("emulator starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("stand-in prints its addresses");
        let addresses = serde_json::from_str(&line).expect("addresses are valid JSON");
        Self { child, addresses }
    }

    fn client(&self) -> PlatformClient {
        let target = PlatformTarget::new(self.addresses.address.to_string());
        PlatformClient::connect("http", &target).expect("platform kind http is supported")
    }

    async fn set_faults(&self, faults: &PlatformFaults) {
        let url = format!("http://{}/faults", self.addresses.control);
        let response = awc::Client::default().put(url).send_json(faults).await;
        assert!(
            response
                .expect("control listener responds")
                .status()
                .is_success()
        );
    }

    async fn counters(&self) -> PlatformCounters {
        let url = format!("http://{}/counters", self.addresses.control);
        let mut response = awc::Client::default()
            .get(url)
            .send()
            .await
            .expect("control listener responds");
        response.json().await.expect("counters are valid JSON")
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn default_deadline() -> ClockInstant {
    wall_clock().after(TimeBudget::from_secs(10))
}

fn key(text: &str) -> RowKey {
    text.parse().expect("row key is valid")
}

fn lose_next_response() -> PlatformFaults {
    PlatformFaults {
        lose_answers: LostResponses {
            next: 1,
            ..LostResponses::default()
        },
        ..PlatformFaults::default()
    }
}

#[actix_web::test]
async fn transaction_writes_all_rows_or_none() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    let first = RowWrite::put(key("mesh/a b/ü"), "one").with_precondition(RowPrecondition::Absent);
    let revision = client
        .transact(vec![first], default_deadline())
        .await
        .unwrap();

    let good = RowWrite::put(key("mesh/good"), "two");
    let stale = RowWrite::put(key("mesh/a b/ü"), "three").with_precondition(
        RowPrecondition::Revision(RowRevision::new(revision.number() + 7)),
    );
    let error = client
        .transact(vec![good, stale], default_deadline())
        .await
        .unwrap_err();

    assert_eq!(error.kind(), ErrorKind::Conflict);
    assert_eq!(error.message(), "row mesh/a b/ü is at revision 1");
    let good_row = client
        .get_row(&key("mesh/good"), default_deadline())
        .await
        .unwrap();
    assert_eq!(good_row, None);
    let row = client
        .get_row(&key("mesh/a b/ü"), default_deadline())
        .await
        .unwrap()
        .unwrap();
    assert_eq!((row.value.as_str(), row.revision), ("one", revision));
}

#[actix_web::test]
async fn scan_continues_after_the_last_key_of_a_page() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    let names = ["m/1", "m/2", "m/3", "n/1"];
    let writes = names.map(|name| RowWrite::put(key(name), name)).to_vec();
    client.transact(writes, default_deadline()).await.unwrap();

    let page = client
        .scan_rows("m/", None, 2, default_deadline())
        .await
        .unwrap();
    assert!(page.more);
    let last = page.rows.last().map(|row| row.key.clone());
    let rest = client
        .scan_rows("m/", last.as_ref(), 2, default_deadline())
        .await
        .unwrap();
    assert!(!rest.more);
    let keys: Vec<_> = page
        .rows
        .into_iter()
        .chain(rest.rows)
        .map(|row| row.key)
        .collect();
    assert_eq!(keys, [key("m/1"), key("m/2"), key("m/3")]);
}

#[actix_web::test]
async fn object_is_returned_as_stored() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    let body = Bytes::from(vec![7; 300_000]);
    client
        .put_object("mesh/abc", body.clone(), default_deadline())
        .await
        .unwrap();
    assert_eq!(
        client
            .get_object("mesh/abc", default_deadline())
            .await
            .unwrap(),
        Some(body)
    );
    assert_eq!(
        client
            .get_object("mesh/abd", default_deadline())
            .await
            .unwrap(),
        None
    );
    assert_eq!(platform.counters().await.objects_read, 1);
}

#[actix_web::test]
async fn lost_response_fails_a_plain_write_and_is_resolved_with_a_token() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    platform.set_faults(&lose_next_response()).await;
    let plain = RowWrite::put(key("m/plain"), "x");
    let error = client
        .transact(vec![plain], default_deadline())
        .await
        .unwrap_err();
    assert_eq!(error.kind(), ErrorKind::PlatformAway);
    let row = client
        .get_row(&key("m/plain"), default_deadline())
        .await
        .unwrap();
    assert!(
        row.is_some(),
        "a write commits even if its response is lost"
    );

    platform.set_faults(&lose_next_response()).await;
    let write = RowWrite::put(key("m/version"), r#"{"attempt":11}"#)
        .with_precondition(RowPrecondition::Absent);
    let token = AttemptToken::new(11);
    let revision = client
        .transact_with_token(vec![write], token, default_deadline())
        .await
        .unwrap();
    assert_eq!(revision, RowRevision::new(2));
    assert_eq!(platform.counters().await.transacts, 2);
}

#[actix_web::test]
async fn token_write_conflicts_with_an_earlier_write() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    let winner = RowWrite::put(key("m/version"), r#"{"attempt":1}"#);
    client
        .transact(vec![winner], default_deadline())
        .await
        .unwrap();
    let write = RowWrite::put(key("m/version"), r#"{"attempt":2}"#)
        .with_precondition(RowPrecondition::Absent);
    let error = client
        .transact_with_token(vec![write], AttemptToken::new(2), default_deadline())
        .await
        .unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Conflict);
}

#[actix_web::test]
async fn delayed_token_write_commits_once() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    let mut faults = lose_next_response();
    faults.lose_answers.apply_after_ms = 100;
    platform.set_faults(&faults).await;
    let write = RowWrite::put(key("m/version"), r#"{"attempt":5}"#)
        .with_precondition(RowPrecondition::Absent);
    client
        .transact_with_token(vec![write], AttemptToken::new(5), default_deadline())
        .await
        .unwrap();
    // Either the delayed write or its retry commits; the other one conflicts.
    let is_settled = async || {
        let counters = platform.counters().await;
        (counters.transacts, counters.conflicts) == (1, 1)
    };
    let limit = TimeBudget::from_secs(10);
    bronzelb_emulator::mesh::wait_until("the delayed write", limit, is_settled)
        .await
        .unwrap();
}

#[actix_web::test]
async fn unavailable_platform_fails_reads_by_the_deadline() {
    let platform = PlatformProcess::start();
    let client = platform.client();
    for faults in [
        PlatformFaults {
            away: true,
            ..PlatformFaults::default()
        },
        PlatformFaults {
            hang: true,
            ..PlatformFaults::default()
        },
        PlatformFaults {
            fail_share: 1.0,
            ..PlatformFaults::default()
        },
    ] {
        platform.set_faults(&faults).await;
        let deadline = wall_clock().after(TimeBudget::from_millis(200));
        let error = client.get_row(&key("m/a"), deadline).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::PlatformAway, "{faults:?}");
    }
    platform.set_faults(&PlatformFaults::default()).await;
    assert_eq!(
        client
            .get_row(&key("m/a"), default_deadline())
            .await
            .unwrap(),
        None
    );
}
