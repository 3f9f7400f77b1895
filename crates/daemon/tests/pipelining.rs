//! HTTP/1.1 pipelining: requests sent on a connection before earlier responses arrive.

use std::{net::SocketAddr, time::Duration};

use bronzelb_emulator::mesh::{BackendSpec, LocalMesh, MeshAnswers, RouteAnswers, wait_until};
use bronzelb_kernel::{clock::TimeBudget, config::HttpMethod};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};

const WAIT_TIMEOUT: TimeBudget = TimeBudget::from_secs(20);
const SERVICE_TIME: Duration = Duration::from_millis(300);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> (LocalMesh, SocketAddr) {
    let spec = BackendSpec::new("work", "v1").with_service_time("300ms");
    let mesh = LocalMesh::builder().data_centres(1).backend(spec);
    let mut mesh = mesh.start().await.expect("the mesh starts");
    let answers = MeshAnswers::new(1).service("work");
    let reads = RouteAnswers::new("/reads", "work").with_methods([HttpMethod::Get]);
    let orders = RouteAnswers::new("/orders", "work")
        .with_methods([HttpMethod::Post])
        .at_most_once();
    let answers = answers.route("reads", reads).route("orders", orders);
    mesh.publish(&answers.to_string())
        .await
        .expect("is accepted");
    mesh.wait_version(1, WAIT_TIMEOUT)
        .await
        .expect("is in force");
    mesh.wait_backends("work", 1, WAIT_TIMEOUT)
        .await
        .expect("is known");
    let callers = mesh.node("dc1-n1").expect("is known").addresses().callers;
    (mesh, callers)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: work\r\n\r\n")
}

fn post(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: work\r\ncontent-length: 2\r\n\r\nhi")
}

async fn send(callers: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(callers).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("is sent");
    stream
}

/// Reads until `count` responses have started and returns the received text.
async fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut received = Vec::new();
    let read = async {
        let mut text = String::new();
        while text.matches("HTTP/1.1 ").count() < count {
            let read = stream.read_buf(&mut received).await.expect("is open");
            assert!(read > 0, "closed after {text:?}");
            text = String::from_utf8_lossy(&received).into_owned();
        }
        text
    };
    time::timeout(READ_TIMEOUT, read)
        .await
        .expect("responds in time")
}

/// Asserts that `text` contains all `parts` in this order.
fn assert_in_order(text: &str, parts: &[&str]) {
    let positions: Vec<_> = parts.iter().map(|part| text.find(part)).collect();
    assert!(positions.iter().all(Option::is_some), "{parts:?} in {text}");
    assert!(positions.is_sorted(), "{parts:?} in {text}");
}

async fn runs(mesh: &LocalMesh) -> Vec<String> {
    let runs = mesh.runs().expect("the journals are readable");
    runs.into_iter().map(|run| run.target).collect()
}

#[actix_web::test]
async fn pipelined_reads_run_concurrently_and_are_answered_in_order() {
    let (mesh, callers) = start().await;
    let text: String = (0..4)
        .map(|number| get(&format!("/reads/{number}")))
        .collect();
    let started_at = Instant::now();
    let mut stream = send(callers, &text).await;
    let responses = read_responses(&mut stream, 4).await;
    let took = started_at.elapsed();
    assert_eq!(responses.matches("HTTP/1.1 200").count(), 4, "{responses}");
    assert!(
        took < SERVICE_TIME * 2,
        "four requests of 300 ms took {took:?}"
    );
    assert_eq!(runs(&mesh).await.len(), 4);
}

#[actix_web::test]
async fn non_idempotent_request_waits_for_earlier_responses() {
    let (mesh, callers) = start().await;
    let text = get("/reads/1") + &post("/orders/2") + &get("/reads/3");
    let mut stream = send(callers, &text).await;
    let is_read = async || runs(&mesh).await.len() == 1;
    wait_until("the first request runs", WAIT_TIMEOUT, is_read)
        .await
        .expect("runs");
    // The caller disconnects before the first response, so the POST request is never read.
    stream.shutdown().await.expect("is open");
    drop(stream);
    let mut stream = send(callers, &(get("/reads/4") + &post("/orders/5"))).await;
    let responses = read_responses(&mut stream, 2).await;
    assert_eq!(responses.matches("HTTP/1.1 200").count(), 2, "{responses}");
    assert_eq!(runs(&mesh).await, ["/reads/1", "/reads/4", "/orders/5"]);
}

#[actix_web::test]
async fn response_that_closes_the_connection_is_the_last_one() {
    let (mesh, callers) = start().await;
    let closing = "GET /reads/2 HTTP/1.1\r\nhost: work\r\nconnection: close\r\n\r\n";
    let text = get("/reads/1") + closing + &get("/reads/3");
    let mut stream = send(callers, &text).await;
    let mut received = String::new();
    time::timeout(READ_TIMEOUT, stream.read_to_string(&mut received))
        .await
        .expect("closes")
        .expect("is text");
    assert_eq!(received.matches("HTTP/1.1 200").count(), 2, "{received}");
    assert_in_order(&received, &["HTTP/1.1 200", "connection: close"]);
    assert_eq!(received.matches("connection: close").count(), 1);
    let mut runs = runs(&mesh).await;
    runs.sort();
    assert_eq!(runs, ["/reads/1", "/reads/2"], "what follows is not read");
}

#[actix_web::test]
async fn caller_that_expects_100_continue_sends_its_body_afterwards() {
    let (_mesh, callers) = start().await;
    let head = "POST /orders/1 HTTP/1.1\r\nhost: work\r\nexpect: 100-continue\r\n\
                content-length: 2\r\n\r\n";
    let mut stream = send(callers, head).await;
    let interim_response = read_responses(&mut stream, 1).await;
    assert!(
        interim_response.starts_with("HTTP/1.1 100"),
        "{interim_response}"
    );
    stream.write_all(b"hi").await.expect("is sent");
    let response = read_responses(&mut stream, 1).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a body after the head of a response to `HEAD`, which the caller takes for the next
/// response.
#[actix_web::test]
async fn error_in_response_to_head_has_no_body() {
    let (_mesh, callers) = start().await;
    let head = "HEAD /nowhere HTTP/1.1\r\nhost: work\r\n\r\n";
    let mut stream = send(callers, &format!("{head}{}", get("/reads/1"))).await;
    let text = read_responses(&mut stream, 2).await;
    assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
    let (_, rest) = text.split_once("\r\n\r\n").expect("the head ends");
    assert!(rest.starts_with("HTTP/1.1 200 "), "{text}");
}
