//! Tests of the backend stand-in: responses, injected faults, tally and journal.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use awc::Client;
use bronzelb_emulator::backend::{
    BackendAddresses, BackendFaults, BackendTally, FaultAction, FaultRule, ResponseBody,
    read_journal,
};

/// Process of a backend stand-in, killed on drop.
struct BackendProcess {
    child: Child,
    addresses: BackendAddresses,
    directory: tempfile::TempDir,
}

impl BackendProcess {
    fn start() -> Self {
        let directory = tempfile::tempdir().expect("temporary directory is created");
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
            .expect("emulator starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("stand-in prints its addresses");
        let addresses = serde_json::from_str(&line).expect("addresses are valid JSON");
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
        assert!(
            response
                .expect("control listener responds")
                .status()
                .is_success()
        );
    }

    async fn tally(&self) -> BackendTally {
        let url = format!("http://{}/tally", self.addresses.control);
        let mut response = Client::default()
            .get(url)
            .send()
            .await
            .expect("control listener responds");
        response.json().await.expect("tally is valid JSON")
    }

    /// Sends a request and returns the response's status and body, or `None` if it is incomplete.
    async fn call(&self, client: &Client, id: &str) -> Option<(u16, Vec<u8>)> {
        let mut response = client
            .get(format!("http://{}/a?id={id}", self.addresses.address))
            .insert_header(("x-bronzelb-request", id))
            .send()
            .await
            .ok()?;
        let length = response.headers().get("content-length")?;
        let length: usize = length.to_str().ok()?.parse().ok()?;
        // The client library reports a truncated body as complete, so the length is checked here.
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

fn decode(body: &[u8]) -> ResponseBody {
    serde_json::from_slice(body).expect("response body is valid")
}

#[actix_web::test]
async fn response_identifies_request_and_faults_reach_the_caller() {
    let backend = BackendProcess::start();
    let client = Client::default();
    let (status, body) = backend
        .call(&client, "r1")
        .await
        .expect("response is complete");
    let response_body = decode(&body);
    assert_eq!(status, 200);
    assert_eq!(
        (
            response_body.request.as_str(),
            response_body.target.as_str()
        ),
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
    let (_, body) = backend
        .call(&client, "r5")
        .await
        .expect("response is complete");
    assert_eq!(decode(&body).target, "/another-request");

    let tally = backend.tally().await;
    assert_eq!(
        tally.by_request["r2"].runs, 2,
        "CutBody and CloseAfterRun both run the request"
    );
    assert_eq!(tally.totals.run, 6);
}

#[actix_web::test]
async fn double_answer_sends_two_responses_on_one_connection() {
    let backend = BackendProcess::start();
    backend
        .set_fault(FaultRule::new(FaultAction::DoubleAnswer).with_next(1))
        .await;
    let mut stream = tokio::net::TcpStream::connect(backend.addresses.address)
        .await
        .expect("stand-in accepts connections");
    let request = b"GET /a HTTP/1.1\r\nhost: t1\r\nconnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .expect("request is sent");
    let mut received = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut received)
        .await
        .expect("responses are read");
    let text = String::from_utf8(received).expect("responses are valid UTF-8");
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
}

#[actix_web::test]
async fn journal_survives_a_crash() {
    let mut backend = BackendProcess::start();
    backend.set_fault(FaultRule::new(FaultAction::Crash)).await;
    assert_eq!(backend.call(&Client::default(), "r1").await, None);
    let status = backend.child.wait().expect("process exits");
    assert!(!status.success());
    let entries =
        read_journal(backend.directory.path().join("journal")).expect("journal is readable");
    let requests: Vec<_> = entries.iter().map(|entry| entry.request.as_str()).collect();
    assert_eq!(requests, ["r1"]);
}
