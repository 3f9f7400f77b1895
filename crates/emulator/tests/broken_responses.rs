//! Clients of the emulator do not take a broken response for an answer.

use std::time::Duration;

use bronzelb_emulator::{
    http::{CallRequest, CallerClient, JsonClient},
    server::{RawServer, Reply, broken_responses, close_after, keep_open, repeat_after},
};
use bronzelb_kernel::config::HttpMethod;
use serde_json::{Map, Value};
use tokio::time;

async fn server(reply: Reply) -> RawServer {
    RawServer::start(move |_, _| reply.clone()).await
}

#[actix_web::test]
async fn caller_gets_no_broken_response() {
    let mut accepted = Vec::new();
    for response in broken_responses("{}") {
        let server = server(close_after(response.as_str())).await;
        let request = CallRequest::get("/predictions");
        if let Ok(answer) = CallerClient::new().call(server.address, &request).await {
            accepted.push((response, answer.body));
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[actix_web::test]
async fn caller_gets_responses_without_a_body() {
    for (method, response) in [
        (
            HttpMethod::Head,
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
        ),
        (HttpMethod::Get, "HTTP/1.1 204 No Content\r\n\r\n"),
        (
            HttpMethod::Get,
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
        ),
        (
            HttpMethod::Get,
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
        ),
    ] {
        let server = server(keep_open(response)).await;
        let request = CallRequest::new(method, "/predictions");
        let answer = CallerClient::new().call(server.address, &request).await;
        assert_eq!(answer.expect(response).body.len(), 0);
    }
}

#[actix_web::test]
async fn control_client_reads_no_broken_response() {
    let mut accepted = Vec::new();
    for response in broken_responses("{}") {
        let server = server(close_after(response.as_str())).await;
        let body = JsonClient::new()
            .get::<Map<String, Value>>(server.address, "/tally")
            .await;
        if body.is_ok() {
            accepted.push(response);
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[actix_web::test]
async fn response_without_end_fails_long_before_the_deadline() {
    for reply in [
        repeat_after("HTTP/1.1 200 OK\r\na: ", "b"),
        repeat_after("HTTP/1.1 200 OK\r\n\r\n", "body"),
        repeat_after(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\nbody\r\n",
        ),
    ] {
        let name = format!("{reply:?}");
        let server = server(reply).await;
        let request = CallRequest::get("/predictions");
        let client = CallerClient::new();
        let call = client.call(server.address, &request);
        let result = time::timeout(Duration::from_secs(5), call).await;
        assert!(result.is_ok_and(|result| result.is_err()), "{name}");
    }
}
