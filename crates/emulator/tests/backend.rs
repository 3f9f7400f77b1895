//! The backend stand-in: its answers, its faults and its tally.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use awc::Client;
use bronzelb_emulator::backend::{
    AnswerBody, BackendAddresses, BackendFaults, BackendTally, FaultAction, FaultRule, read_journal,
};

/// A running stand-in; it ends with the value.
struct BackendProcess {
    child: Child,
    addresses: BackendAddresses,
    directory: tempfile::TempDir,
}

impl BackendProcess {
    fn start() -> Self {
        let directory = tempfile::tempdir().expect("a directory for the journal");
        let mut child = Command::new(env!("CARGO_BIN_EXE_bronzelb-emulator"))
            .args([
                "backend",
                "--name",
                "t1",
                "--service",
                "tracker",
                "--journal",
            ])
            .arg(directory.path().join("journal"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the emulator starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the stand-in prints its addresses");
        let addresses = serde_json::from_str(&line).expect("the line is JSON");
        Self {
            child,
            addresses,
            directory,
        }
    }

    async fn set_fault(&self, rule: FaultRule) {
        let url = format!("http://{}/faults", self.addresses.control);
        let response = Client::default()
            .put(url)
            .send_json(&BackendFaults::from_rules([rule]))
            .await;
        assert!(response.expect("the control answers").status().is_success());
    }

    async fn tally(&self) -> BackendTally {
        let url = format!("http://{}/tally", self.addresses.control);
        let mut response = Client::default().get(url).send().await.expect("a tally");
        response.json().await.expect("the tally is JSON")
    }

    /// Sends a request and returns its status and body; `None` when the answer is not whole.
    async fn call(&self, client: &Client, id: &str) -> Option<(u16, Vec<u8>)> {
        let mut response = client
            .get(format!("http://{}/a?id={id}", self.addresses.address))
            .insert_header(("x-bronzelb-request", id))
            .send()
            .await
            .ok()?;
        let length = response.headers().get("content-length")?;
        let length: usize = length.to_str().ok()?.parse().ok()?;
        // The client library passes a body that ends early as a whole one.
        let body = response.body().await.ok()?;
        if body.len() != length {
            return None;
        }
        Some((response.status().as_u16(), body.to_vec()))
    }
}

impl Drop for BackendProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn decode(body: &[u8]) -> AnswerBody {
    serde_json::from_slice(body).expect("the body is an answer")
}

#[actix_web::test]
async fn answer_names_its_request_and_faults_reach_the_caller() {
    let backend = BackendProcess::start();
    let client = Client::default();
    let (status, body) = backend.call(&client, "r1").await.expect("a whole answer");
    let answer = decode(&body);
    assert_eq!(status, 200);
    assert_eq!(
        (answer.request.as_str(), answer.target.as_str()),
        ("r1", "/a?id=r1")
    );

    for action in [
        FaultAction::CutBody,
        FaultAction::CloseAfterRun,
        FaultAction::CloseBeforeRun,
    ] {
        backend.set_fault(FaultRule::new(action).with_next(1)).await;
        assert_eq!(backend.call(&client, "r2").await, None, "{action:?}");
    }
    backend
        .set_fault(FaultRule::new(FaultAction::Fail).with_next(1))
        .await;
    assert_eq!(
        backend.call(&client, "r3").await.map(|(status, _)| status),
        Some(500)
    );
    backend
        .set_fault(FaultRule::new(FaultAction::Shed).with_path("/b"))
        .await;
    assert_eq!(
        backend.call(&client, "r4").await.map(|(status, _)| status),
        Some(200)
    );

    backend
        .set_fault(FaultRule::new(FaultAction::WrongRequestId).with_next(1))
        .await;
    let (_, body) = backend.call(&client, "r5").await.expect("a whole answer");
    assert_eq!(decode(&body).target, "/another-request");

    let tally = backend.tally().await;
    assert_eq!(
        tally.by_request["r2"].runs, 2,
        "cut and closed after the run"
    );
    assert_eq!(tally.totals.run, 6);
}

#[actix_web::test]
async fn second_answer_stays_on_the_connection() {
    let backend = BackendProcess::start();
    backend
        .set_fault(FaultRule::new(FaultAction::DoubleAnswer).with_next(1))
        .await;
    let mut stream = tokio::net::TcpStream::connect(backend.addresses.address)
        .await
        .expect("the stand-in listens");
    let request = b"GET /a HTTP/1.1\r\nhost: t1\r\nconnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .expect("the request is sent");
    let mut received = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut received)
        .await
        .expect("the answers are read");
    let text = String::from_utf8(received).expect("the answers are text");
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
}

#[actix_web::test]
async fn journal_outlives_a_crash() {
    let mut backend = BackendProcess::start();
    backend.set_fault(FaultRule::new(FaultAction::Crash)).await;
    assert_eq!(backend.call(&Client::default(), "r1").await, None);
    let status = backend.child.wait().expect("the process ends");
    assert!(!status.success());
    let entries = read_journal(backend.directory.path().join("journal")).expect("a journal");
    let requests: Vec<_> = entries.iter().map(|entry| entry.request.as_str()).collect();
    assert_eq!(requests, ["r1"]);
}
