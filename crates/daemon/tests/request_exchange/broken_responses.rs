//! Responses that are no answer, or whose body cannot be told to be complete, are not forwarded.

use std::{fmt::Display, time::Duration};

use bronzelb_emulator::server::{
    RawServer, Reply, ReplyEnding, close_after, complete_response, repeat_after, reply,
};
use bronzelb_kernel::{clock::TimeBudget, config::HttpMethod, error::RunState};
use bronzelb_wire::peer::ForwardResponse;
use bytes::Bytes;
use futures::future::join_all;
use tokio::time;

use crate::forwarder_harness::{ForwarderHarness, NATIVE_DIALECT, USERS_DIALECT, run_state};

/// Larger than the buffers of a loopback connection.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
const DEADLINE: TimeBudget = TimeBudget::from_secs(5);
const DIALECTS: [&str; 2] = [NATIVE_DIALECT, USERS_DIALECT];
/// Races between a response and the reset of its connection differ from run to run.
const UPLOADS: usize = 20;

/// Sends one request to a server that replies as `script` says.
async fn exchange(
    dialect: &str,
    method: HttpMethod,
    body: Bytes,
    script: impl Fn(usize, &str) -> Reply + Clone + 'static,
) -> Result<ForwardResponse, RunState> {
    let server = RawServer::start(script).await;
    let harness = ForwarderHarness::with_dialect(&[server.address], false, 4, dialect);
    let deadline = harness.forwarder.state().now().after(DEADLINE);
    let mut request = harness.request(1, deadline);
    request.message.method = method;
    request.message.body = body;
    let result = harness.forwarder.run(request).await;
    let run_state = run_state(&result);
    result.map_err(|_| run_state)
}

async fn upload(
    script: impl Fn(usize, &str) -> Reply + Clone + 'static,
) -> Result<ForwardResponse, RunState> {
    let body = vec![b'u'; UPLOAD_BYTES].into();
    exchange(USERS_DIALECT, HttpMethod::Post, body, script).await
}

async fn get(
    dialect: &str,
    method: HttpMethod,
    response: &[u8],
) -> Result<ForwardResponse, RunState> {
    let response = response.to_vec();
    let script = move |_: usize, _: &str| close_after(response.clone());
    exchange(dialect, method, Bytes::new(), script).await
}

/// Asserts that none of the responses, given by name, is forwarded or reported as not run.
async fn assert_refused(responses: impl IntoIterator<Item = (impl Display, impl AsRef<[u8]>)>) {
    let mut accepted = Vec::new();
    for (name, response) in responses {
        for dialect in DIALECTS {
            let result = get(dialect, HttpMethod::Get, response.as_ref()).await;
            match result {
                Err(RunState::OutcomeUnknown) => {}
                Err(state) => accepted.push(format!("{name}, {dialect}: {state:?}")),
                Ok(forwarded) => {
                    let (status, body) = (forwarded.status, forwarded.body);
                    accepted.push(format!("{name}, {dialect}: {status} {body:?}"));
                }
            }
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

async fn assert_forwarded(method: HttpMethod, response: &[u8], status: u16, body: &[u8]) {
    let name = String::from_utf8_lossy(response);
    for dialect in DIALECTS {
        let result = get(dialect, method, response).await;
        let forwarded = result.unwrap_or_else(|state| panic!("{dialect}, {state:?}: {name}"));
        assert_eq!(forwarded.status, status, "{dialect}: {name}");
        assert_eq!(forwarded.body, body, "{dialect}: {name}");
    }
}

/// Guards against a part of a body that a client gets as the whole one: the write of the upload
/// sees the reset first, and the read after it an ordinary end.
#[actix_web::test]
async fn unframed_body_that_ends_with_a_reset_during_an_upload_is_not_forwarded() {
    for ending in [ReplyEnding::Reset, ReplyEnding::Close] {
        for _ in 0..UPLOADS {
            let result = upload(move |_, _| reply("HTTP/1.1 200 OK\r\n\r\npart", ending)).await;
            let state = result.expect_err("the connection was reset");
            assert_eq!(state, RunState::OutcomeUnknown);
        }
    }
}

#[actix_web::test]
async fn unframed_body_that_ends_cleanly_during_an_upload_is_forwarded() {
    for _ in 0..UPLOADS {
        let script =
            |_: usize, _: &str| reply("HTTP/1.1 200 OK\r\n\r\nwhole", ReplyEnding::HalfClose);
        let response = upload(script).await.expect("the body ended cleanly");
        assert_eq!(response.body.as_ref(), b"whole");
    }
}

#[actix_web::test]
async fn response_with_a_length_is_forwarded_though_the_upload_is_not_read() {
    for ending in [
        ReplyEnding::Reset,
        ReplyEnding::Close,
        ReplyEnding::HalfClose,
    ] {
        for _ in 0..UPLOADS {
            let script = move |_: usize, id: &str| reply(complete_response(id, "whole"), ending);
            let response = upload(script).await.expect("the response is complete");
            assert_eq!(response.body.as_ref(), b"whole");
        }
    }
}

/// Guards against a connection that is used again while the server waits for the rest of an upload.
#[actix_web::test]
async fn connection_whose_upload_was_not_read_is_not_reused() {
    let server =
        RawServer::start(|_, id| reply(complete_response(id, "whole"), ReplyEnding::KeepOpen))
            .await;
    let harness = ForwarderHarness::with_dialect(&[server.address], true, 4, NATIVE_DIALECT);
    // The server answers the first request, which has no body, on a connection that closes.
    harness.get(0).await.expect("a complete response");
    for number in 1..5 {
        let deadline = harness.forwarder.state().now().after(DEADLINE);
        let mut request = harness.request(number, deadline);
        request.message.method = HttpMethod::Post;
        request.message.body = vec![b'u'; UPLOAD_BYTES].into();
        let response = harness.forwarder.run(request).await;
        assert_eq!(response.expect("a complete response").body, "whole");
    }
    assert_eq!(server.connections(), 5);
}

/// Guards against a body that is cut short or lost because two readers of a head differ about its
/// end.
#[actix_web::test]
async fn response_whose_end_is_in_doubt_is_not_forwarded() {
    const CHUNKED_BODY: &str = "4\r\nbody\r\n0\r\n\r\n";
    let responses = [
        (
            "1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2",
            "body",
        ),
        ("1.1 200 OK\r\ncontent-length: 4, 4", "body"),
        ("1.1 200 OK\r\ncontent-length: +4", "body"),
        ("1.1 200 OK\r\ncontent-length: -4", "body"),
        ("1.1 200 OK\r\ncontent-length: 0x4", "body"),
        ("1.1 200 OK\r\ncontent-length:", "body"),
        (
            "1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked",
            CHUNKED_BODY,
        ),
        (
            "1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4",
            CHUNKED_BODY,
        ),
        (
            "1.1 200 OK\r\ntransfer-encoding: identity\r\ncontent-length: 4",
            "body",
        ),
        ("1.1 200 OK\r\ntransfer-encoding: identity", "body"),
        ("1.1 200 OK\r\ntransfer-encoding: gzip", "body"),
        (
            "1.1 200 OK\r\ntransfer-encoding: gzip, chunked",
            CHUNKED_BODY,
        ),
        (
            "1.1 200 OK\r\ntransfer-encoding: chunked, identity",
            CHUNKED_BODY,
        ),
        (
            "1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked",
            CHUNKED_BODY,
        ),
        ("1.1 200 OK\r\ntransfer-encoding: xchunked", CHUNKED_BODY),
        ("1.0 200 OK\r\ntransfer-encoding: chunked", CHUNKED_BODY),
        (
            "1.0 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4",
            CHUNKED_BODY,
        ),
        (
            "1.0 200 OK\r\ntransfer-encoding: identity\r\ncontent-length: 4",
            "body",
        ),
        (
            "1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: 4",
            "body",
        ),
        (
            "1.1 426 Upgrade\r\nupgrade: WebSocket\r\ncontent-length: 4",
            "body",
        ),
        ("1.1 204 No Content\r\ncontent-length: 4", "body"),
        (
            "1.1 204 No Content\r\ntransfer-encoding: chunked",
            CHUNKED_BODY,
        ),
        ("2.0 200 OK\r\ncontent-length: 4", "body"),
    ];
    let responses = responses.map(|(head, body)| (head, format!("HTTP/{head}\r\n\r\n{body}")));
    assert_refused(responses).await;
}

#[actix_web::test]
async fn response_whose_end_is_known_is_forwarded() {
    for (response, status, body) in [
        ("1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", 200, "body"),
        ("1.0 200 OK\r\ncontent-length: 4\r\n\r\nbody", 200, "body"),
        ("1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 200, ""),
        ("1.0 200 OK\r\ncontent-length: 0\r\n\r\n", 200, ""),
        (
            "1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            200,
            "body",
        ),
        (
            "1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nx: y\r\n\r\n",
            200,
            "body",
        ),
        (
            "1.1 200 OK\r\nupgrade: h2c\r\ncontent-length: 4\r\n\r\nbody",
            200,
            "body",
        ),
        ("1.1 204 No Content\r\n\r\n", 204, ""),
        ("1.0 204 No Content\r\n\r\n", 204, ""),
        ("1.1 304 Not Modified\r\n\r\n", 304, ""),
        ("1.1 304 Not Modified\r\ncontent-length: 4\r\n\r\n", 304, ""),
        (
            "1.1 599 Status\r\ncontent-length: 4\r\n\r\nbody",
            599,
            "body",
        ),
        ("1.1 500\r\ncontent-length: 4\r\n\r\nbody", 500, "body"),
    ] {
        let response = format!("HTTP/{response}");
        assert_forwarded(
            HttpMethod::Get,
            response.as_bytes(),
            status,
            body.as_bytes(),
        )
        .await;
    }
    for head in ["content-length: 4", "transfer-encoding: chunked", "x: y"] {
        let response = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n");
        assert_forwarded(HttpMethod::Head, response.as_bytes(), 200, b"").await;
    }
}

#[actix_web::test]
async fn response_with_an_impossible_status_is_not_forwarded() {
    let statuses = [
        "000", "099", "20", "2000", "0200", "600", "999", "2x0", "-20", "",
    ];
    let responses = statuses.map(|status| {
        let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: 4");
        (status, format!("{head}\r\n\r\nbody"))
    });
    assert_refused(responses).await;
}

/// Guards against a codec that panics, or that reads the next head with the state of this one.
#[actix_web::test]
async fn informational_response_that_announces_more_is_not_forwarded() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    let heads = [
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 100 Continue\r\ncontent-length: 5",
        "HTTP/1.1 103 Early Hints\r\ntransfer-encoding: chunked",
        "HTTP/1.0 100 Continue",
    ];
    let rests = ["", WHOLE, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"];
    let responses = heads.iter().flat_map(|head| {
        let responses = rests.map(|rest| format!("{head}\r\n\r\n{rest}"));
        responses.map(|response| (response.clone(), response))
    });
    assert_refused(responses).await;
    let response = format!("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n{WHOLE}");
    assert_forwarded(HttpMethod::Get, response.as_bytes(), 200, b"whole").await;
    let result = get(NATIVE_DIALECT, HttpMethod::Head, heads[1].as_bytes()).await;
    assert_eq!(result.err(), Some(RunState::OutcomeUnknown));
}

#[actix_web::test]
async fn response_with_a_malformed_header_name_is_not_forwarded() {
    const NAMES: [&[u8]; 14] = [
        b"x y",
        b" x",
        b"\tx",
        b"x ",
        b"x\t",
        b"x \t ",
        b"",
        b" ",
        b"x\0y",
        b"x\x01",
        b"\x1bx",
        b"x\x7f",
        b"x\ry",
        b"x\xc3\xa4",
    ];
    const PRECEDING_LINES: [&str; 2] = ["", "server: test\r\n"];
    let mut responses = Vec::new();
    for line in PRECEDING_LINES {
        for name in NAMES {
            let head = format!("HTTP/1.1 200 OK\r\n{line}content-length: 4\r\n");
            let response = [head.as_bytes(), name, b": value\r\n\r\nbody"].concat();
            responses.push((name.escape_ascii().to_string(), response));
        }
        for framing in ["content-length : 4", "content-length\t: 4"] {
            let response = format!("HTTP/1.1 200 OK\r\n{line}{framing}\r\n\r\nbody");
            responses.push((framing.to_owned(), response.into_bytes()));
        }
        let framing = "transfer-encoding : chunked";
        let response = format!("\r\nHTTP/1.1 200 OK\n{line}{framing}\n\n4\r\nbody\r\n0\r\n\r\n");
        responses.push((framing.to_owned(), response.into_bytes()));
    }
    assert_refused(responses).await;
}

/// Guards against a scan that takes a value or a body for the name of a header.
#[actix_web::test]
async fn response_with_spaces_elsewhere_is_forwarded() {
    for head in [
        "1.1 200 OK : fine\r\nx: a b : c\r\ncontent-length:15",
        "1.1 200 OK\r\nx:  \r\ncontent-length: 15 ",
        "1.1 200 OK\nx:y\ncontent-length: 15\r",
    ] {
        let response = format!("\r\nHTTP/{head}\n\r\nbody : a\r\nb : c");
        assert_forwarded(
            HttpMethod::Get,
            response.as_bytes(),
            200,
            b"body : a\r\nb : c",
        )
        .await;
    }
}

/// Guards against a process that keeps all that its servers send, and against slots that are held
/// until the deadline.
#[actix_web::test]
async fn many_responses_without_end_fail_before_the_deadline() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n";
    const REQUESTS_PER_SHAPE: usize = 4;
    const LONG_DEADLINE: TimeBudget = TimeBudget::from_secs(60);
    const LIMIT: Duration = Duration::from_secs(30);
    let shapes = [
        repeat_after("", "\0"),
        repeat_after("HTTP/1.1 200 OK\r\na: ", "b"),
        repeat_after("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        repeat_after("", "HTTP/1.1 100 Continue\r\n\r\n"),
        repeat_after("HTTP/1.1 200 OK\r\n\r\n", "body"),
        repeat_after(LENGTH, "body"),
        repeat_after(CHUNKED, "4\r\nbody\r\n"),
        repeat_after(format!("{CHUNKED}4;"), "a"),
        repeat_after(format!("{CHUNKED}0\r\n"), "a: b\r\n"),
    ];
    for dialect in DIALECTS {
        let mut servers = Vec::new();
        for shape in &shapes {
            let shape = shape.clone();
            servers.push(RawServer::start(move |_, _| shape.clone()).await);
        }
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let slots = u32::try_from(REQUESTS_PER_SHAPE).expect("is small");
        let harness = ForwarderHarness::with_dialect(&addresses, false, slots, dialect);
        let deadline = harness.forwarder.state().now().after(LONG_DEADLINE);
        let count = REQUESTS_PER_SHAPE * shapes.len();
        let requests = (0..count).map(|number| harness.get_with_deadline(number, deadline));
        let results = time::timeout(LIMIT, join_all(requests)).await;
        let results = results.unwrap_or_else(|_| panic!("{dialect}: not over within {LIMIT:?}"));
        let forwarded: Vec<_> = results.iter().filter(|result| result.is_ok()).collect();
        assert!(forwarded.is_empty(), "{dialect}: {forwarded:?}");
        let reached = servers.iter().filter(|server| server.requests() > 0);
        assert!(reached.count() > shapes.len() / 2, "{dialect}");
    }
}
