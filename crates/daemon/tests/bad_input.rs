//! Malformed, oversized and slow input on the node's ports is rejected, and the process keeps
//! running.
//!
//! The pages docs/bad-inputs/ports.md and docs/bad-inputs/callers.md record the response to each
//! request; `UPDATE_EXPECT=1` regenerates them.

mod standalone_node;

use std::{
    fmt::Write,
    net::{IpAddr, SocketAddr, UdpSocket},
    time::Duration,
};

use bronzelb_emulator::mesh::{BackendSpec, LocalMesh};
use bronzelb_kernel::clock::TimeBudget;
use bronzelb_wire::handshake::{MeshKey, connect_peer};
use bronzelbd::{operators::is_operator_allowed, settings::OperatorToken};
use expect_test::expect_file;
use standalone_node::{MESH_KEY, StandaloneNode, TOKEN};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const CALLERS_PAGE_HEAD: &str = "\
# Bad requests to the callers' port and what each one gets

Written by the test `bad_input` of `crates/daemon` from a node's answers; rewrite it with
`UPDATE_EXPECT=1 cargo test -p bronzelbd --test bad_input`. The route takes bodies of 1 KiB and has a
timeout of 1 s.

| request | answer |
| --- | --- |
";

const ANSWERS: &str = "\
mesh: local
data_centres: {dc1: {}}
services: {dispatcher: {slots: 12, connections: 110, report_format: json-load}}
routes:
  dispatches:
    path: /dispatches
    methods: [GET, POST]
    service: dispatcher
    idempotent: false
    timeout: 1s
    max_body: 1KiB
";

const OPERATORS_PAGE_HEAD: &str = "\
# Bad requests to the operators' port and what each one gets

Written by the test `bad_input` of `crates/daemon` from a node's answers; rewrite it with
`UPDATE_EXPECT=1 cargo test -p bronzelbd --test bad_input`. Slow senders, broken peers and wrong
keys have tests of their own there.

| request | answer |
| --- | --- |
";

/// Time within which the node must disconnect a slow sender.
const DISCONNECT_LIMIT: Duration = Duration::from_secs(15);

/// Time within which a node must respond or reach an awaited state.
const WAIT_TIMEOUT: TimeBudget = TimeBudget::from_secs(20);

/// Maximum memory of a node, in KiB.
const MAX_MEMORY_KIB: u64 = 128 * 1024;

const IDLE_CONNECTIONS: usize = 200;

/// Sends raw bytes and returns everything received until the node closes the connection.
async fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("is listening");
    // The node may reject a request before it has read all of it.
    let _ = stream.write_all(request).await;
    read_until_closed(&mut stream).await
}

async fn read_until_closed(stream: &mut TcpStream) -> Vec<u8> {
    let mut response = Vec::new();
    let read = timeout(DISCONNECT_LIMIT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stays open: {response:?}");
    response
}

/// Returns the status and the body of a response on one line.
fn summary(response: &[u8]) -> String {
    let text = String::from_utf8_lossy(response);
    let status = text.split(' ').nth(1).unwrap_or("closed").to_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    match body.trim() {
        "" => status,
        body => format!("{status} `{body}`"),
    }
}

fn announcement(name: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "PUT /v1/backends/{name} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn request(line: &str, headers: &str) -> Vec<u8> {
    format!("{line} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{headers}\r\n").into_bytes()
}

fn bad_requests() -> Vec<(&'static str, Vec<u8>)> {
    let valid = r#"{"service":"tracker","version":"v1","address":"127.0.0.1:4711","slots":12,"connections":110,"state":"serving"}"#;
    let deep = "[".repeat(60_000);
    let long = format!(r#"{{"service":"{}"}}"#, "a".repeat(70_000));
    vec![
        ("no HTTP at all", b"NONSENSE\r\n\r\n".to_vec()),
        (
            "bytes of a TLS handshake",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".repeat(9),
        ),
        (
            "a header of 200 KB",
            request("GET /v1/health", &format!("x: {}\r\n", "a".repeat(200_000))),
        ),
        (
            "1,000 headers",
            request("GET /v1/health", &"x: y\r\n".repeat(1_000)),
        ),
        (
            "a content length that is no number",
            request("PUT /v1/backends/a", "content-length: ten\r\n"),
        ),
        (
            "two content lengths",
            request(
                "PUT /v1/backends/a",
                "content-length: 1\r\ncontent-length: 2\r\n",
            ),
        ),
        ("an unknown path", request("GET /v2/status", "")),
        ("an unknown method", request("BREW /v1/status", "")),
        ("an announcement of 70 KB", announcement("a", &long)),
        (
            "an announcement that is not JSON",
            announcement("a", "service: tracker"),
        ),
        (
            "an announcement nested 60,000 deep",
            announcement("a", &deep),
        ),
        (
            "an announcement with an unknown field",
            announcement("a", &valid.replace("slots", "slotz")),
        ),
        (
            "an announcement with a wrong type",
            announcement("a", &valid.replace(":12,", r#":"twelve","#)),
        ),
        (
            "an announcement with an unknown state",
            announcement("a", &valid.replace("serving", "asleep")),
        ),
        (
            "an announcement with zero slots",
            announcement("a", &valid.replace(":12,", ":0,")),
        ),
        (
            "an announcement under a name with a space",
            announcement("a%20b", valid),
        ),
        (
            "an announcement under a name of 65 characters",
            announcement(&"a".repeat(65), valid),
        ),
    ]
}

#[actix_web::test]
async fn bad_requests_to_the_operators_port_are_rejected() {
    let mut node = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let mut page = OPERATORS_PAGE_HEAD.to_owned();
    for (title, bytes) in bad_requests() {
        let response = summary(&exchange(node.addresses.operators, &bytes).await);
        let is_rejected = response.starts_with('4') || response == "closed";
        assert!(is_rejected, "{title}: {response}");
        writeln!(page, "| {title} | {response} |").expect("writing to a string succeeds");
    }
    node.assert_healthy().await;
    assert!(
        node.memory_kib() < MAX_MEMORY_KIB,
        "{} KiB",
        node.memory_kib()
    );
    expect_file!["../../../docs/bad-inputs/ports.md"].assert_eq(&page);
}

/// Returns a request to the route with the given raw headers and body.
fn dispatch(headers: &str, body: &str) -> Vec<u8> {
    let mut bytes = request("POST /dispatches/1", headers);
    bytes.extend(body.as_bytes());
    bytes
}

fn bad_caller_requests() -> Vec<(&'static str, Vec<u8>)> {
    let long_body = "a".repeat(1_025);
    let chunk = format!("401\r\n{long_body}\r\n0\r\n\r\n");
    let chunked = "transfer-encoding: chunked\r\n";
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(129));
    vec![
        ("no HTTP at all", b"NONSENSE\r\n\r\n".to_vec()),
        (
            "a header of 200 KB",
            dispatch(&format!("x: {}\r\n", "a".repeat(200_000)), ""),
        ),
        (
            "a path of 200 KB",
            request(&format!("GET /dispatches/{}", "a".repeat(200_000)), ""),
        ),
        ("a path without a route", request("GET /dispatchesque", "")),
        ("a path with a NUL byte", request("GET /dispatches/\0", "")),
        (
            "a method that no route can match",
            request("TRACE /dispatches/1", ""),
        ),
        (
            "a method that the route does not take",
            request("DELETE /dispatches/1", ""),
        ),
        (
            "a body over the route's limit",
            dispatch("content-length: 1025\r\n", &long_body),
        ),
        (
            "a chunked body over the route's limit",
            dispatch(chunked, &chunk),
        ),
        (
            "a chunk with a broken length",
            dispatch(chunked, "zz\r\nabc\r\n0\r\n\r\n"),
        ),
        (
            "a body that stops half way",
            dispatch("content-length: 100\r\n", "half"),
        ),
        (
            "a deadline that is no number",
            dispatch("x-bronzelb-deadline-ms: soon\r\n", ""),
        ),
        (
            "a deadline that has passed",
            dispatch("x-bronzelb-deadline-ms: -5\r\n", ""),
        ),
        (
            "a deadline beyond all numbers",
            dispatch(
                &format!("x-bronzelb-deadline-ms: {}\r\n", "9".repeat(40)),
                "",
            ),
        ),
        (
            "an empty idempotency key",
            dispatch("idempotency-key:\r\n", ""),
        ),
        (
            "an idempotency key of 129 characters",
            dispatch(&long_key, ""),
        ),
        (
            "an idempotency key that is not ASCII",
            dispatch("idempotency-key: caf\u{e9}\r\n", ""),
        ),
    ]
}

#[actix_web::test]
async fn bad_requests_to_the_callers_port_are_rejected_and_never_run() {
    let mut mesh = LocalMesh::builder()
        .data_centres(1)
        .backend(BackendSpec::new("dispatcher", "v1"))
        .start()
        .await
        .expect("the mesh starts");
    mesh.publish(ANSWERS).await.expect("is accepted");
    mesh.wait_version(1, WAIT_TIMEOUT)
        .await
        .expect("becomes active");
    mesh.wait_backends("dispatcher", 1, WAIT_TIMEOUT)
        .await
        .expect("is known");
    let callers = mesh.node("dc1-n1").expect("runs").addresses().callers;
    let mut page = CALLERS_PAGE_HEAD.to_owned();
    for (title, bytes) in bad_caller_requests() {
        let response = exchange(callers, &bytes).await;
        let text = String::from_utf8_lossy(&response).to_lowercase();
        let line = summary(&response);
        let is_rejected = line.starts_with('4') || line.starts_with("504") || line == "closed";
        assert!(is_rejected, "{title}: {line}");
        assert!(!text.contains("x-bronzelb-run: ran"), "{title}: {text}");
        writeln!(page, "| {title} | {line} |").expect("writing to a string succeeds");
    }
    assert_eq!(mesh.runs().expect("are readable"), []);
    let good = exchange(callers, &dispatch("content-length: 2\r\n", "ok")).await;
    assert!(summary(&good).starts_with("200 "), "{}", summary(&good));
    expect_file!["../../../docs/bad-inputs/callers.md"].assert_eq(&page);
}

#[actix_web::test]
async fn slow_senders_are_disconnected() {
    let mut node = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let operators = node.addresses.operators;
    let half_body = "PUT /v1/backends/a HTTP/1.1\r\nhost: node\r\n\
                     content-type: application/json\r\ncontent-length: 100\r\n\r\n{";
    let peers = node.addresses.peers;
    let callers = node.addresses.callers;
    let senders: Vec<(SocketAddr, &[u8])> = vec![
        (operators, b""),
        (operators, b"GET /v1/health HTTP/1.1\r\nho"),
        (operators, half_body.as_bytes()),
        (callers, b""),
        (callers, b"POST /dispatches HTTP/1.1\r\nho"),
        (callers, half_body.as_bytes()),
        (peers, b""),
        (peers, b"bzl1"),
        (peers, b"bzl1 and half of a nonce"),
    ];
    let exchanges = senders
        .into_iter()
        .map(|(address, bytes)| exchange(address, bytes));
    futures::future::join_all(exchanges).await;
    node.assert_healthy().await;
}

#[actix_web::test]
async fn idle_connections_do_not_block_new_ones() {
    let mut node = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        for address in [node.addresses.operators, node.addresses.peers] {
            connections.push(TcpStream::connect(address).await.expect("is listening"));
        }
    }
    node.assert_healthy().await;
    drop(connections);
    node.assert_healthy().await;
}

#[actix_web::test]
async fn nodes_reject_a_peer_with_a_wrong_mesh_key() {
    let mut first = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let mut second = StandaloneNode::start("leuven-2", MESH_KEY, &[first.addresses.peers]).await;
    first.wait_members(2, WAIT_TIMEOUT).await;
    second.wait_members(2, WAIT_TIMEOUT).await;
    let both = [first.addresses.peers, second.addresses.peers];
    let rejected = StandaloneNode::start("leuven-3", "another key of this mesh", &both).await;
    first
        .wait_metric("bronzelb_peer_refused", 2, WAIT_TIMEOUT)
        .await;
    second
        .wait_metric("bronzelb_peer_refused", 2, WAIT_TIMEOUT)
        .await;
    assert_eq!(first.member_names().await, ["leuven-1", "leuven-2"]);
    assert_eq!(second.member_names().await, ["leuven-1", "leuven-2"]);
    assert_eq!(rejected.member_names().await, ["leuven-3"]);
    first.assert_healthy().await;
    second.assert_healthy().await;
}

#[actix_web::test]
async fn handshake_with_a_wrong_or_replayed_proof_fails() {
    let mut node = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let peers = node.addresses.peers;
    let wrong: MeshKey = "a key of another mesh".parse().expect("is long enough");
    let mut stream = TcpStream::connect(peers).await.expect("is listening");
    let result = connect_peer(&mut stream, &wrong, [7; 32]).await;
    assert!(result.is_err());
    let replayed = recorded_handshake(peers).await;
    let response = exchange(peers, &replayed).await;
    // The node sends only its own nonce, but no proof of its key.
    assert_eq!(response.len(), 32);
    node.wait_metric("bronzelb_peer_refused", 2, WAIT_TIMEOUT)
        .await;
    node.assert_healthy().await;
}

/// Records a successful handshake with the right key and returns the bytes that the client sent.
async fn recorded_handshake(peers: SocketAddr) -> Vec<u8> {
    let key: MeshKey = MESH_KEY.parse().expect("is long enough");
    let (mut client, mut recorder) = tokio::io::duplex(1024);
    let mut stream = TcpStream::connect(peers).await.expect("is listening");
    let relay = async {
        let mut sent = vec![0; 36];
        recorder.read_exact(&mut sent).await.expect("a nonce");
        stream.write_all(&sent).await.expect("is taken");
        let mut nonce = [0; 32];
        stream.read_exact(&mut nonce).await.expect("a nonce");
        recorder.write_all(&nonce).await.expect("is taken");
        let mut proof = [0; 32];
        recorder.read_exact(&mut proof).await.expect("a proof");
        stream.write_all(&proof).await.expect("is taken");
        let mut own_proof = [0; 32];
        stream.read_exact(&mut own_proof).await.expect("a proof");
        recorder.write_all(&own_proof).await.expect("is taken");
        sent.extend(proof);
        sent
    };
    let handshake = connect_peer(&mut client, &key, [7; 32]);
    let (result, sent) = futures::future::join(handshake, relay).await;
    result.expect("a peer with the right key is accepted");
    sent
}

#[actix_web::test]
async fn malformed_messages_of_a_peer_close_its_connection() {
    let mut node = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let key: MeshKey = MESH_KEY.parse().expect("is long enough");
    let oversized = u32::MAX.to_be_bytes().to_vec();
    let mut garbage = 32_u32.to_be_bytes().to_vec();
    garbage.extend([0xff; 32]);
    let mut huge_list = 16_u32.to_be_bytes().to_vec();
    huge_list.extend([0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
    huge_list.extend([0xff; 4]);
    let messages = [oversized, garbage, huge_list];
    let count = messages.len() as i64;
    for message in messages {
        let mut stream = TcpStream::connect(node.addresses.peers)
            .await
            .expect("is listening");
        connect_peer(&mut stream, &key, rand::random())
            .await
            .expect("a peer with the right key is accepted");
        stream.write_all(&message).await.expect("is taken");
        read_until_closed(&mut stream).await;
    }
    node.wait_metric("bronzelb_peer_refused", count, WAIT_TIMEOUT)
        .await;
    node.assert_healthy().await;
    assert!(
        node.memory_kib() < MAX_MEMORY_KIB,
        "{} KiB",
        node.memory_kib()
    );
}

#[test]
fn remote_operators_need_the_token() {
    let token: OperatorToken = TOKEN.parse().expect("is long enough");
    let right = format!("Bearer {TOKEN}").into_bytes();
    let local: Option<IpAddr> = Some("127.0.3.1".parse().expect("is an IP address"));
    let local_v6: Option<IpAddr> = Some("::1".parse().expect("is an IP address"));
    let remote: Option<IpAddr> = Some("10.0.1.2".parse().expect("is an IP address"));
    for peer in [local, local_v6] {
        assert!(is_operator_allowed(peer, None, None));
        assert!(is_operator_allowed(peer, None, Some(&token)));
    }
    for peer in [remote, None] {
        assert!(!is_operator_allowed(peer, None, None));
        assert!(!is_operator_allowed(peer, Some(&right), None));
        assert!(!is_operator_allowed(peer, None, Some(&token)));
        assert!(!is_operator_allowed(peer, Some(b"Bearer x"), Some(&token)));
        assert!(is_operator_allowed(peer, Some(&right), Some(&token)));
    }
}

#[actix_web::test]
async fn node_requires_the_token_beyond_loopback() {
    // On a machine with only loopback addresses, the decision alone is tested, by
    // `remote_operators_need_the_token`.
    let Some(own_ip) = own_address() else {
        return;
    };
    let mut node = StandaloneNode::start("leuven-1", MESH_KEY, &[]).await;
    let address = SocketAddr::new(own_ip, node.addresses.operators.port());
    let without = exchange(address, &request("GET /v1/status", "")).await;
    assert!(
        summary(&without).starts_with("401 "),
        "{}",
        summary(&without)
    );
    let wrong = request("PUT /v1/backends/a", "authorization: Bearer wrong\r\n");
    let wrong = exchange(address, &wrong).await;
    assert!(summary(&wrong).starts_with("401 "), "{}", summary(&wrong));
    let right = request(
        "GET /v1/status",
        &format!("authorization: Bearer {TOKEN}\r\n"),
    );
    let right = exchange(address, &right).await;
    assert!(summary(&right).starts_with("200 "), "{}", summary(&right));
    assert!(!node.log_text().contains(TOKEN));
    node.assert_healthy().await;
}

/// Returns the machine's own address beyond loopback, if it has one.
///
/// Connecting a UDP socket makes the operating system choose the address, without sending anything.
fn own_address() -> Option<IpAddr> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.connect("192.0.2.1:9").ok()?;
    let address = socket.local_addr().ok()?.ip();
    (!address.is_loopback() && !address.is_unspecified()).then_some(address)
}
