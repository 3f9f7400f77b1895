//! Responses that are no answer, or whose body cannot be told to be complete, are not forwarded.

use bronzelb_kernel::{clock::TimeBudget, config::HttpMethod, error::RunState};
use bronzelb_wire::peer::ForwardResponse;
use bytes::Bytes;

use crate::{
    forwarder_harness::{ForwarderHarness, NATIVE_DIALECT, USERS_DIALECT, run_state},
    raw_server::{RawServer, Reply, ReplyEnding, complete_response, reply},
};

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
