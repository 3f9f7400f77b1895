//! Exchanges with a backend server that truncates, mixes up, duplicates or loses responses.

mod broken_responses;
mod forwarder_harness;
mod load_reports;
mod response_soak;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzelb_emulator::server::{
    REQUEST_HEADER, RawServer, ReplyScript, close_after, complete_response, keep_open, read_head,
    repeat_after,
};
use bronzelb_kernel::{
    clock::TimeBudget,
    config::{RequestPriority, RolloutRule, ShareRatio},
    error::{ErrorKind, RunState},
    ids::{AttemptToken, DataCentre, IncarnationNumber, NodeName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::AccountRank,
    rollout::{MoveRecord, MoveRequest},
    spread::{GossipRequest, PeerHeader},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
    time,
};

use forwarder_harness::{ForwarderHarness, USERS_DIALECT, run_state};

/// Time after which a connection to a full listener counts as hanging.
const PENDING_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs one request against a scripted server and returns the run state reported to the caller.
async fn reported_run_state(script: ReplyScript) -> RunState {
    let server = RawServer::start(script).await;
    let harness = ForwarderHarness::new(&[server.address], false);
    let result = harness.get(1).await;
    assert_eq!(server.requests(), 1);
    run_state(&result)
}

#[actix_web::test]
async fn connection_closed_after_the_request_is_not_reported_as_not_run() {
    let outcome = reported_run_state(|_, _| close_after(String::new())).await;
    assert_eq!(outcome, RunState::OutcomeUnknown);
}

#[actix_web::test]
async fn response_truncated_in_its_head_is_not_reported_as_not_run() {
    let outcome =
        reported_run_state(|_, _| close_after("HTTP/1.1 200 OK\r\ncontent-le".to_owned())).await;
    assert_eq!(outcome, RunState::OutcomeUnknown);
}

/// Guards against a head that ends anywhere and is taken for a whole response, where responses need
/// no length.
#[actix_web::test]
async fn response_truncated_in_its_head_is_not_forwarded_where_responses_need_no_length() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Test: 3e1b.07\r\nContent-Length: 5\r\n\r\n";
    let server = RawServer::start(|number, _| {
        let end = (number + 1).min(HEAD.len());
        close_after(HEAD[..end].to_owned())
    })
    .await;
    // The last cut leaves the whole head, with a body that is too short.
    for number in 0..HEAD.len() {
        // The lease of an announcement is shorter than all cuts together.
        let harness = ForwarderHarness::with_dialect(&[server.address], false, 4, USERS_DIALECT);
        let result = harness.get(number).await;
        assert_eq!(
            run_state(&result),
            RunState::OutcomeUnknown,
            "cut {number}: {result:?}"
        );
        assert!(result.is_err(), "cut {number}");
    }
}

#[actix_web::test]
async fn body_shorter_than_its_length_is_not_forwarded() {
    let outcome = reported_run_state(|_, id| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n{REQUEST_HEADER}{id}");
        close_after(format!("{head}\r\n\r\nhalf"))
    })
    .await;
    assert_eq!(outcome, RunState::OutcomeUnknown);
}

#[actix_web::test]
async fn chunked_body_without_final_chunk_is_not_forwarded() {
    let outcome = reported_run_state(|_, id| {
        let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{REQUEST_HEADER}{id}");
        close_after(format!("{head}\r\n\r\n4\r\nhalf\r\n"))
    })
    .await;
    assert_eq!(outcome, RunState::OutcomeUnknown);
}

#[actix_web::test]
async fn body_without_length_is_not_forwarded() {
    let outcome = reported_run_state(|_, id| {
        close_after(format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_HEADER}{id}\r\n\r\nhalf"
        ))
    })
    .await;
    assert_eq!(outcome, RunState::OutcomeUnknown);
}

#[actix_web::test]
async fn complete_chunked_body_is_forwarded() {
    let server = RawServer::start(|_, id| {
        let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{REQUEST_HEADER}{id}");
        keep_open(format!("{head}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
    })
    .await;
    let harness = ForwarderHarness::new(&[server.address], false);
    let response = harness.get(1).await.expect("a complete response");
    assert_eq!(response.body.as_ref(), b"whole");
}

#[actix_web::test]
async fn response_without_end_fails_long_before_the_deadline() {
    const DEADLINE: TimeBudget = TimeBudget::from_secs(20);
    const LIMIT: Duration = Duration::from_secs(5);
    let scripts: [(&str, ReplyScript); 7] = [
        ("headers", |_, _| {
            repeat_after("HTTP/1.1 200 OK\r\n", "a: b\r\n")
        }),
        ("one header", |_, _| {
            repeat_after("HTTP/1.1 200 OK\r\na: ", "b")
        }),
        ("no head at all", |_, _| repeat_after(String::new(), "\0")),
        ("informational responses", |_, _| {
            repeat_after(String::new(), "HTTP/1.1 100 Continue\r\n\r\n")
        }),
        ("chunks", |_, id| {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked";
            repeat_after(
                format!("{head}\r\n{REQUEST_HEADER}{id}\r\n\r\n"),
                "5\r\nwhole\r\n",
            )
        }),
        ("chunk extension", |_, id| {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked";
            repeat_after(format!("{head}\r\n{REQUEST_HEADER}{id}\r\n\r\n5;"), "a")
        }),
        ("length", |_, id| {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 99999999999";
            repeat_after(format!("{head}\r\n{REQUEST_HEADER}{id}\r\n\r\n"), "body")
        }),
    ];
    for (name, script) in scripts {
        let server = RawServer::start(script).await;
        let harness = ForwarderHarness::new(&[server.address], false);
        let deadline = harness.forwarder.state().now().after(DEADLINE);
        let result = time::timeout(LIMIT, harness.get_with_deadline(1, deadline)).await;
        let result = result.unwrap_or_else(|_| panic!("{name}: no result within {LIMIT:?}"));
        assert!(result.is_err(), "{name}");
        assert_ne!(run_state(&result), RunState::NotRun, "{name}");
    }
}

#[actix_web::test]
async fn response_for_another_request_is_discarded() {
    let outcome =
        reported_run_state(|_, _| keep_open(complete_response("request-77", "another's"))).await;
    assert_eq!(outcome, RunState::OutcomeUnknown);
}

#[actix_web::test]
async fn duplicate_responses_never_reach_the_next_caller() {
    let server = RawServer::start(|_, id| {
        let response = complete_response(id, id);
        keep_open(format!("{response}{response}"))
    })
    .await;
    let harness = ForwarderHarness::new(&[server.address], true);
    for number in 0..200 {
        if let Ok(response) = harness.get(number).await {
            let expected = format!("request-{number}");
            assert_eq!(response.body.as_ref(), expected.as_bytes());
        }
    }
    assert!(server.requests() >= 200);
}

#[actix_web::test]
async fn server_without_echo_gets_a_connection_for_each_request() {
    let server = RawServer::start(|number, _| {
        let body = format!("answer {number}");
        let length = body.len();
        keep_open(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    })
    .await;
    let harness = ForwarderHarness::new(&[server.address], true);
    for number in 0..20 {
        let response = harness.get(number).await.expect("a complete response");
        let expected = format!("answer {number}");
        assert_eq!(response.body.as_ref(), expected.as_bytes());
    }
    assert_eq!(server.connections(), 20);
}

#[actix_web::test]
async fn connections_are_reused_for_servers_that_echo() {
    let server = RawServer::start(|_, id| keep_open(complete_response(id, id))).await;
    let harness = ForwarderHarness::new(&[server.address], true);
    for number in 0..50 {
        harness.get(number).await.expect("a complete response");
    }
    let connections = server.connections();
    assert!(connections <= 2, "{connections} connections");
}

#[actix_web::test]
async fn refused_connection_is_not_run_and_has_a_retry_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    drop(listener);
    let harness = ForwarderHarness::new(&[address], false);
    let error = harness.get(1).await.expect_err("nobody listens");
    assert_eq!(error.kind(), ErrorKind::NoBackend);
    assert!(error.retry_at().is_some());
}

#[actix_web::test]
async fn refusal_without_echo_counts_only_on_a_fresh_connection() {
    let server = RawServer::start(|number, id| {
        if number == 0 {
            return keep_open(complete_response(id, id));
        }
        keep_open(
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-backend-run: not-run\r\n\r\n".to_owned(),
        )
    })
    .await;
    let harness = ForwarderHarness::new(&[server.address], false);
    // The first response arrives on a connection that closes, the others on reusable connections.
    let mut run_states = Vec::new();
    for number in 0..4 {
        run_states.push(run_state(&harness.get(number).await));
    }
    assert_eq!(run_states[0], RunState::Ran);
    assert_eq!(run_states[3], RunState::NotRun);
}

/// Starts a server that refuses the first request of each connection, without its identifier, and
/// writes the refusal once more before it answers the next request there.
async fn server_with_late_copies() -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    const REFUSAL: &str =
        "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-backend-run: not-run\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let ran = Rc::new(RefCell::new(Vec::new()));
    let recorded = Rc::clone(&ran);
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let recorded = Rc::clone(&recorded);
            spawn_local(async move {
                let mut buffer = Vec::new();
                let mut has_refused = false;
                while let Some(head) = read_head(&mut stream, &mut buffer).await {
                    let mut lines = head.lines();
                    let id = lines.find_map(|line| line.strip_prefix(REQUEST_HEADER));
                    let id = id.unwrap_or_default();
                    let mut reply = REFUSAL.to_owned();
                    if has_refused || head.contains("connection: close") {
                        recorded.borrow_mut().push(id.to_owned());
                        let copy = if has_refused { REFUSAL } else { "" };
                        reply = format!("{copy}{}", complete_response(id, id));
                    }
                    has_refused = true;
                    if stream.write_all(reply.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, ran)
}

/// Guards against a late copy of a refusal that is taken for the answer to the next request.
#[actix_web::test]
async fn request_that_ran_is_not_reported_as_not_run_after_a_late_copy_of_a_refusal() {
    let (address, ran) = server_with_late_copies().await;
    let harness = ForwarderHarness::new(&[address], false);
    for number in 0..6 {
        let result = harness.get(number).await;
        let has_run = ran.borrow().contains(&format!("request-{number}"));
        let is_not_run = run_state(&result) == RunState::NotRun;
        assert!(!(has_run && is_not_run), "request {number}: {result:?}");
    }
    assert!(!ran.borrow().is_empty());
}

/// Guards against a handshake for each refusal: requests that may run again still share connections.
#[actix_web::test]
async fn repeatable_requests_reuse_connections_after_refusals() {
    let server = RawServer::start(|number, id| {
        if number % 2 == 0 {
            return keep_open(complete_response(id, id));
        }
        keep_open(
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-backend-run: not-run\r\n\r\n".to_owned(),
        )
    })
    .await;
    let harness = ForwarderHarness::new(&[server.address], true);
    for number in 0..20 {
        let _ = harness.get(number).await;
    }
    let connections = server.connections();
    assert!(connections <= 3, "{connections} connections");
}

#[actix_web::test]
async fn shed_request_is_retried_on_another_server_even_when_not_idempotent() {
    let shedding = RawServer::start(|_, id| {
        keep_open(format!(
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-backend-run: not-run\r\n\
             {REQUEST_HEADER}{id}\r\n\r\n"
        ))
    })
    .await;
    let working = RawServer::start(|_, id| keep_open(complete_response(id, id))).await;
    let harness = ForwarderHarness::new(&[shedding.address, working.address], false);
    let mut served = 0;
    for number in 0..5 {
        served += usize::from(harness.get(number).await.is_ok());
    }
    assert!(served >= 3, "{served} of 5 were served");
}

#[actix_web::test]
async fn lost_response_is_retried_only_when_idempotent() {
    let losing = RawServer::start(|_, _| close_after(String::new())).await;
    let working = RawServer::start(|_, id| keep_open(complete_response(id, id))).await;
    let addresses = [losing.address, working.address];
    let harness = ForwarderHarness::new(&addresses, false);
    for number in 0..20 {
        let before = losing.requests() + working.requests();
        let _ = harness.get(number).await;
        assert_eq!(losing.requests() + working.requests(), before + 1);
    }
    let harness = ForwarderHarness::new(&addresses, true);
    let mut served = 0;
    for number in 0..4 {
        served += usize::from(harness.get(number).await.is_ok());
    }
    assert!(served >= 3, "{served} of 4 were served");
}

#[actix_web::test]
async fn retry_that_did_not_run_does_not_hide_an_attempt_that_may_have() {
    let losing = RawServer::start(|_, _| close_after(String::new())).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let refusing = listener.local_addr().expect("a bound socket");
    drop(listener);
    let mut reached = 0;
    for _ in 0..20 {
        let harness = ForwarderHarness::new(&[losing.address, refusing], true);
        let before = losing.requests();
        let result = harness.get(1).await;
        if losing.requests() > before {
            reached += 1;
            assert_eq!(run_state(&result), RunState::OutcomeUnknown);
        }
    }
    assert!(reached > 0);
}

#[actix_web::test]
async fn late_response_is_dropped_with_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut buffer = Vec::new();
                while let Some(head) = read_head(&mut stream, &mut buffer).await {
                    let id = head
                        .lines()
                        .find_map(|line| line.strip_prefix(REQUEST_HEADER))
                        .unwrap_or_default()
                        .to_owned();
                    if id == "request-1" {
                        time::sleep(Duration::from_millis(60)).await;
                    }
                    let _ = stream
                        .write_all(complete_response(&id, &id).as_bytes())
                        .await;
                }
            });
        }
    });
    let harness = ForwarderHarness::new(&[address], false);
    harness.get(0).await.expect("a complete response");
    let deadline = harness
        .forwarder
        .state()
        .now()
        .after(TimeBudget::from_millis(20));
    let late = harness.get_with_deadline(1, deadline).await;
    assert_eq!(run_state(&late), RunState::OutcomeUnknown);
    for number in 2..20 {
        let response = harness.get(number).await.expect("a complete response");
        let expected = format!("request-{number}");
        assert_eq!(response.body.as_ref(), expected.as_bytes());
    }
}

/// Listens without accepting, and fills the queue of pending connections, so that further
/// connections hang.
async fn full_listener() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("a valid address"))
        .expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("a bound socket");
    let mut pending = Vec::new();
    while let Ok(stream) = time::timeout(PENDING_TIMEOUT, TcpStream::connect(address)).await {
        pending.push(stream.expect("the connection is queued"));
    }
    (address, listener, pending)
}

/// Guards against a request that reached no server but ends as outcome-unknown, because its
/// deadline passed while the connection was being opened.
#[actix_web::test]
async fn hanging_connection_is_not_run_and_leaves_time_for_another_server() {
    let (address, _listener, _pending) = full_listener().await;
    let harness = ForwarderHarness::new(&[address], false);
    let started = Instant::now();
    let error = harness.get(1).await.expect_err("no connection is accepted");
    assert_eq!(error.kind().response().run_state, RunState::NotRun);
    assert!(error.retry_at().is_some());
    assert!(started.elapsed() < Duration::from_millis(450));
    let working = RawServer::start(|_, id| keep_open(complete_response(id, id))).await;
    let harness = ForwarderHarness::new(&[address, working.address], false);
    for number in 0..8 {
        harness.get(number).await.expect("the other server answers");
    }
}

/// Guards against requests that wait for a connection to another node until their deadline has
/// passed.
#[actix_web::test]
async fn request_does_not_wait_for_a_hanging_connection_to_another_node() {
    let (address, _listener, _pending) = full_listener().await;
    let harness = ForwarderHarness::new(&[], false);
    let state = harness.forwarder.state();
    let (node, data_centre): (NodeName, DataCentre) = (
        "leuven-2".parse().expect("a valid name"),
        "leuven".parse().expect("a valid name"),
    );
    let row = MemberRow {
        node: node.clone(),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: data_centre.clone(),
        peer_address: address,
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: "tracker-9".parse().expect("a valid name"),
            service: "tracker".parse().expect("a valid name"),
            version: "v1".parse().expect("a valid version"),
            slots: SlotCount::new(4),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    };
    let push = GossipRequest {
        from: PeerHeader {
            node,
            data_centre,
            stamp: None,
            platform_seen_at: None,
            orders_seen_at: None,
        },
        digest: None,
        members: vec![row],
        records: Vec::new(),
    };
    let now = state.now();
    state.gossip.step(|node, _| node.handle_gossip(push, now));
    let started = Instant::now();
    let deadline = state.now().after(TimeBudget::from_millis(300));
    let result = harness.get_with_deadline(1, deadline).await;
    assert!(started.elapsed() < Duration::from_millis(300));
    let error = result.expect_err("the other node accepts no connection");
    assert_eq!(error.kind().response().run_state, RunState::NotRun);
    assert!(error.retry_at().is_some());
}

/// Guards against callers that stay away from a server whose refusals do not depend on its load.
#[actix_web::test]
async fn request_shed_by_a_server_with_room_may_return_at_once() {
    let shedding = RawServer::start(|_, id| {
        keep_open(format!(
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-backend-run: not-run\r\n\
             {REQUEST_HEADER}{id}\r\n\r\n"
        ))
    })
    .await;
    let harness = ForwarderHarness::new(&[shedding.address], false);
    let error = harness.get(1).await.expect_err("is shed");
    assert_eq!(error.kind(), ErrorKind::Shed);
    let retry_at = error.retry_at().expect("a time to return");
    let delay = retry_at.remaining(harness.forwarder.state().now());
    // A few round trips to the caller, far below the shortest target of 200 ms.
    assert!(delay <= TimeBudget::from_millis(20), "{delay}");
}

/// Starts a server that answers after `delay`, and returns the identifiers that it receives.
async fn slow_server(delay: Duration) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let received: Rc<RefCell<Vec<String>>> = Rc::default();
    let recorded = Rc::clone(&received);
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let recorded = Rc::clone(&recorded);
            spawn_local(async move {
                let mut buffer = Vec::new();
                while let Some(head) = read_head(&mut stream, &mut buffer).await {
                    let mut lines = head.lines();
                    let id = lines.find_map(|line| line.strip_prefix(REQUEST_HEADER));
                    let id = id.unwrap_or_default();
                    recorded.borrow_mut().push(id.to_owned());
                    time::sleep(delay).await;
                    let response = complete_response(id, id);
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    (address, received)
}

/// Guards against requests that are sent although they cannot be answered any more, which end as
/// outcome-unknown and occupy a slot.
#[actix_web::test]
async fn request_without_enough_time_left_is_not_sent() {
    let (address, received) = slow_server(Duration::from_millis(100)).await;
    let harness = ForwarderHarness::new(&[address], false);
    for number in 0..6 {
        harness.get(number).await.expect("a complete response");
    }
    let now = harness.forwarder.state().now();
    let deadline = now.after(TimeBudget::from_millis(30));
    let result = harness.get_with_deadline(6, deadline).await;
    assert_eq!(run_state(&result), RunState::NotRun);
    assert_eq!(received.borrow().len(), 6);
}

/// Guards against an entry node's gate that orders requests by arrival only, whatever their
/// accounts.
#[actix_web::test]
async fn gate_of_the_entry_node_admits_the_most_urgent_account_first() {
    let (address, received) = slow_server(Duration::from_millis(15)).await;
    // With one slot, the gate admits two requests at a time.
    let harness = ForwarderHarness::with_slots(&[address], false, 1);
    let low = AccountRank {
        account: "low".parse().expect("a valid name"),
        priority: RequestPriority::DEFERRABLE,
    };
    let high = AccountRank {
        account: "high".parse().expect("a valid name"),
        priority: RequestPriority::URGENT,
    };
    let mut runs = Vec::new();
    for (number, rank) in [&low, &low, &low, &low, &high].into_iter().enumerate() {
        let now = harness.forwarder.state().now();
        let deadline = now.after(TimeBudget::from_secs(5));
        let mut request = harness.request(number, deadline);
        request.message.account = Some(rank.clone());
        let forwarder = harness.forwarder.clone();
        runs.push(spawn_local(async move { forwarder.run(request).await }));
        tokio::task::yield_now().await;
    }
    for run in runs {
        run.await.expect("does not panic").expect("a response");
    }
    let expected = [
        "request-0",
        "request-1",
        "request-4",
        "request-2",
        "request-3",
    ];
    assert_eq!(*received.borrow(), expected);
}

#[actix_web::test]
async fn shed_request_stays_on_its_drawn_version() {
    let shed = |_: usize, _: &str| {
        keep_open("HTTP/1.1 503 Busy\r\nx-backend-run: not-run\r\ncontent-length: 0\r\n\r\n")
    };
    let old = RawServer::start(shed).await;
    let new = RawServer::start(shed).await;
    let mut harness = ForwarderHarness::new(&[old.address, new.address], true);
    let state = Arc::clone(harness.forwarder.state());
    {
        let mut backends = state.backends();
        let name = "tracker-1".parse().expect("a valid name");
        let entry = backends.get(&name).expect("is announced");
        let mut announcement = entry.announcement.clone();
        announcement.version = "v2".parse().expect("a valid version");
        backends.announce(state.now(), name, announcement);
    }
    state.publish_backends();
    let now = state.now();
    let rule = RolloutRule {
        first_share: ShareRatio::from_ppm(500_000),
        min_requests: 1_000,
        hold: TimeBudget::from_secs(10),
    };
    let move_request = MoveRequest {
        service: "tracker".parse().expect("a valid name"),
        from: "v1".parse().expect("a valid version"),
        to: "v2".parse().expect("a valid version"),
        by: now.after(TimeBudget::from_secs(600)),
        rule,
    };
    let record = MoveRecord::start(None, move_request, now, AttemptToken::new(1));
    state
        .rollout
        .merge_record(record.expect("a valid move"), now);
    // The highest draws select the old version.
    harness.version_draw = u64::from(ShareRatio::ALL.as_ppm()) - 1;
    for number in 0..30 {
        let result = harness.get(number).await;
        assert_eq!(run_state(&result), RunState::NotRun);
    }
    assert_eq!(new.requests(), 0);
    assert!(old.requests() >= 30);
}
