//! Responses of a platform that break off, or whose end is in doubt, count as no response.

use std::time::Duration;

use awc::http::Method;
use bronzelb_emulator::server::{
    RawServer, broken_responses, close_after, keep_open, repeat_after,
};
use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};
use bronzelb_store::{
    PlatformTarget,
    http::{HttpClient, HttpRequest, HttpResponse},
    wall_clock,
};
use bytes::Bytes;
use tokio::time;

const MAX_BODY_BYTES: usize = 64 * 1024;

fn client(server: &RawServer) -> HttpClient {
    let target = PlatformTarget::new(server.address.to_string());
    HttpClient::new(&target).expect("a valid address")
}

async fn get(server: &RawServer) -> Result<HttpResponse, MeshError> {
    get_with(&client(server)).await
}

async fn get_with(client: &HttpClient) -> Result<HttpResponse, MeshError> {
    let request = HttpRequest {
        method: Method::GET,
        path: "/objects/version-1",
        content_type: "application/octet-stream",
        body: Bytes::new(),
        max_bytes: MAX_BODY_BYTES,
    };
    let deadline = wall_clock().after(TimeBudget::from_secs(10));
    client.send(request, deadline).await
}

#[actix_web::test]
async fn broken_response_counts_as_no_response() {
    let mut accepted = Vec::new();
    for response in broken_responses("{}") {
        let reply = close_after(response.as_str());
        let server = RawServer::start(move |_, _| reply.clone()).await;
        match get(&server).await {
            Err(error) if error.kind() == ErrorKind::PlatformAway => {}
            result => accepted.push((response, result)),
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[actix_web::test]
async fn complete_responses_are_read_and_their_connections_reused() {
    let responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\n\r\n{}",
    ];
    for response in responses {
        let server = RawServer::start(move |_, _| keep_open(response)).await;
        let client = client(&server);
        for _ in 0..3 {
            let response = get_with(&client).await.expect("a complete response");
            assert_eq!(response.body.as_ref(), b"{}");
        }
        assert_eq!(server.connections(), 1);
    }
}

/// Guards against a reader that keeps what a faulty platform sends until it closes the connection.
#[actix_web::test]
async fn response_without_end_fails_long_before_the_deadline() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n";
    let replies = [
        repeat_after("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        repeat_after("HTTP/1.1 200 OK\r\na: ", "b"),
        repeat_after("", "\0"),
        repeat_after("", "HTTP/1.1 100 Continue\r\n\r\n"),
        repeat_after("HTTP/1.1 200 OK\r\n\r\n", "body"),
        repeat_after(LENGTH, "body"),
        repeat_after(CHUNKED, "4\r\nbody\r\n"),
    ];
    for reply in replies {
        let name = format!("{reply:?}");
        let server = RawServer::start(move |_, _| reply.clone()).await;
        let result = time::timeout(Duration::from_secs(5), get(&server)).await;
        let result = result.unwrap_or_else(|_| panic!("no result: {name}"));
        let kind = result
            .map(|response| response.status)
            .map_err(|error| error.kind());
        let is_refused = matches!(kind, Err(ErrorKind::PlatformAway | ErrorKind::TooLarge));
        assert!(is_refused, "{kind:?}: {name}");
    }
}
