//! Integration tests of gossip between real processes behind the fault proxy, for the six points of
//! issue 4 and for malformed input from peers.
//!
//! They cover reordered updates, restarts, concurrent publishers, invalid content, failed or frozen
//! nodes and servers, partitions, a slow or unreachable platform, and the load on the platform.

use std::{net::SocketAddr, time::Duration};

use bronzelb_emulator::{
    http::CallRequest,
    mesh::{BackendSpec, LocalMesh, wait_until},
    platform::{LostResponses, PlatformFaults},
    proxy::{ProxyAction, ProxyRule, ProxyRules},
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigSnapshot, ConfigVersion},
    ids::{AttemptToken, ContentHash},
    member::MemberState,
    spread::{CurrentRow, PublishAttempt, PublishPlan, VersionRow},
};
use bronzelb_store::{
    PlatformClient, PlatformTarget,
    table::{RowKey, RowPrecondition, RowWrite},
};
use bronzelb_wire::handshake::connect_peer;
use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

const WAIT_LIMIT: TimeBudget = TimeBudget::from_secs(30);
/// Exceeds a node's lease of 3 s.
const LONGER_THAN_LEASE: Duration = Duration::from_secs(4);
const MESH_KEY: &str = "key of a local mesh";

fn answers(path: &str) -> String {
    format!(
        "\
mesh: local
data_centres:
  dc1: {{latency: {{dc2: 500us, dc3: 500us}}}}
  dc2: {{latency: {{dc3: 500us}}}}
  dc3: {{}}
services:
  tracker: {{slots: 12, connections: 110, report_format: json-load}}
routes:
  predictions: {{path: /{path}, methods: [GET], service: tracker}}
"
    )
}

async fn start(nodes: u8) -> LocalMesh {
    let mut mesh = LocalMesh::builder()
        .data_centres(3)
        .nodes(nodes)
        .start()
        .await
        .expect("the mesh starts");
    mesh.publish(&answers("v1")).await.expect("is accepted");
    mesh.wait_version(1, WAIT_LIMIT).await.expect("is in force");
    let all = mesh.node_names().len();
    mesh.wait_status("every member serving", WAIT_LIMIT, |status| {
        status.serving_member_count() == all
    })
    .await
    .expect("every node joins");
    mesh
}

/// Returns the versions that a node's current process has applied, in order.
fn applied_versions(mesh: &LocalMesh, node: &str) -> Vec<u64> {
    let log = mesh.node(node).expect("is known").log_text();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines
        .filter(|event: &serde_json::Value| event["event"] == "config-applied")
        .filter_map(|event| event["version"].as_u64())
        .collect()
}

fn assert_versions_increase(mesh: &LocalMesh) {
    for node in mesh.node_names() {
        let versions = applied_versions(mesh, &node);
        assert!(versions.is_sorted_by(|a, b| a < b), "{node}: {versions:?}");
    }
}

fn platform(mesh: &mut LocalMesh) -> PlatformClient {
    let target = PlatformTarget::new(mesh.platform().address().to_string());
    PlatformClient::connect("http", &target).expect("the kind is registered")
}

fn deadline() -> ClockInstant {
    let since_epoch = std::time::UNIX_EPOCH.elapsed().expect("after the epoch");
    ClockInstant::from_micros(since_epoch.as_micros() as u64).after(TimeBudget::from_secs(10))
}

async fn current_row(client: &PlatformClient) -> CurrentRow {
    let key: RowKey = "local/version".parse().expect("a valid key");
    let row = client.get_row(&key, deadline()).await.expect("an answer");
    let row = row.expect("a version was published");
    CurrentRow {
        row: VersionRow::from_json(&row.value).expect("is well-formed"),
        revision: row.revision,
    }
}

/// Writes `row` to the platform directly, without the publisher's checks.
async fn write_row(client: &PlatformClient, row: &VersionRow) {
    let key: RowKey = "local/version".parse().expect("a valid key");
    let write = RowWrite::put(key, row.to_json());
    client
        .transact(vec![write], deadline())
        .await
        .expect("is written");
}

async fn snapshot_in_force(client: &PlatformClient) -> ConfigSnapshot {
    let current = current_row(client).await;
    let body = client.get_object(&current.row.object, deadline()).await;
    let body = body.expect("an answer").expect("the object is there");
    let version = ConfigVersion::from_bytes(current.row.stamp(), body).expect("is valid");
    (**version.snapshot()).clone()
}

#[actix_web::test]
async fn no_node_reverts_to_an_older_version_after_reordered_updates_a_restart_and_a_partition() {
    let mut mesh = start(2).await;
    let delay = ProxyRule::new(ProxyAction::Delay(150)).with_listener("dc2/");
    let twice = ProxyRule::new(ProxyAction::Duplicate).with_listener("dc3/");
    mesh.add_rule(delay).await.expect("is set");
    mesh.add_rule(twice).await.expect("is set");
    for number in 2..=6 {
        mesh.publish(&answers(&format!("v{number}")))
            .await
            .expect("is accepted");
    }
    mesh.wait_version(6, WAIT_LIMIT).await.expect("is in force");
    mesh.heal().await.expect("is set");
    mesh.partition(1, 2, ProxyAction::Stall)
        .await
        .expect("is set");
    mesh.partition(1, 3, ProxyAction::Stall)
        .await
        .expect("is set");
    mesh.partition_platform(1, ProxyAction::Stall)
        .await
        .expect("is set");
    mesh.publish(&answers("v7")).await.expect("is accepted");
    mesh.node_mut("dc1-n2")
        .expect("is known")
        .process()
        .expect("runs")
        .kill();
    mesh.start_node("dc1-n2").await.expect("starts again");
    mesh.heal().await.expect("is set");
    mesh.wait_version(7, WAIT_LIMIT).await.expect("is in force");
    assert_versions_increase(&mesh);
}

#[actix_web::test]
async fn restarted_node_does_not_fall_behind_its_peers_while_the_platform_is_away() {
    let mut mesh = start(3).await;
    mesh.node_mut("dc1-n3")
        .expect("is known")
        .process()
        .expect("runs")
        .kill();
    let source = |node: &str| mesh.node(node).expect("is known").ip().to_string();
    let (first, second) = (source("dc1-n1"), source("dc1-n2"));
    // Isolates the second node, which stays at the first version.
    let stall = ProxyRule::new(ProxyAction::Stall);
    for rule in [
        stall.clone().with_source(second.as_str()),
        stall.with_listener("dc1/dc1-n2/"),
    ] {
        mesh.add_rule(rule).await.expect("is set");
    }
    mesh.publish(&answers("v2")).await.expect("is accepted");
    let others: Vec<_> = mesh
        .node_names()
        .into_iter()
        .filter(|node| !["dc1-n2", "dc1-n3"].contains(&node.as_str()))
        .collect();
    let is_applied = async || {
        let mut others = others.iter();
        others.all(|node| applied_versions(&mesh, node).contains(&2))
    };
    wait_until("version 2 on the other nodes", WAIT_LIMIT, is_applied)
        .await
        .expect("is in force");
    // Isolates the data centre, and its two running nodes from each other.
    let cut = ProxyRule::new(ProxyAction::Cut);
    let mut rules = vec![
        cut.clone().with_listener("platform"),
        cut.clone().with_source(second).with_listener("dc1/dc1-n1/"),
        cut.clone().with_source(first).with_listener("dc1/dc1-n2/"),
    ];
    for other in ["dc2/", "dc3/"] {
        rules.push(
            cut.clone()
                .with_source(mesh.source_prefix(1))
                .with_listener(other),
        );
    }
    for other in [2, 3].map(|centre| mesh.source_prefix(centre)) {
        rules.push(cut.clone().with_source(other).with_listener("dc1/"));
    }
    let rules = ProxyRules { rules };
    mesh.proxy().set_rules(&rules).await.expect("is set");
    mesh.start_node("dc1-n3").await.expect("starts again");
    mesh.wait_version(2, WAIT_LIMIT).await.expect("is in force");
    assert_eq!(
        applied_versions(&mesh, "dc1-n3"),
        [2],
        "serves no older version first"
    );
}

#[actix_web::test]
async fn lost_answer_and_two_publishers_leave_one_version_each() {
    let mut mesh = start(1).await;
    let lost = LostResponses {
        next: 1,
        key_prefix: "local/version".to_owned(),
        ..LostResponses::default()
    };
    let faults = PlatformFaults {
        lose_answers: lost,
        ..PlatformFaults::default()
    };
    mesh.platform().set_faults(&faults).await.expect("is set");
    mesh.publish(&answers("v2"))
        .await
        .expect("is accepted by reading back");
    mesh.wait_version(2, WAIT_LIMIT).await.expect("is in force");
    // Two plans are based on the same row; the table accepts one of them.
    let client = platform(&mut mesh);
    let current = current_row(&client).await;
    let snapshot = snapshot_in_force(&client).await;
    let attempt = PublishAttempt {
        token: AttemptToken::new(1),
        publisher: "other".into(),
        started_at: deadline(),
    };
    let plan = PublishPlan::new(Some(&current), snapshot, attempt).expect("is valid");
    let body = plan.version().body().clone();
    client
        .put_object(&plan.row().object, body, deadline())
        .await
        .expect("is stored");
    let third = answers("v3");
    let (ours, theirs) = tokio::join!(mesh.publish(&third), async {
        let key: RowKey = "local/version".parse().expect("a valid key");
        let write = RowWrite::put(key, plan.row().to_json());
        let expected = plan.expected_revision();
        let precondition = expected.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
        let write = write.with_precondition(precondition);
        client.transact(vec![write], deadline()).await
    });
    let row = current_row(&client).await.row;
    let accepted = usize::from(ours.is_ok()) + usize::from(theirs.is_ok());
    assert_eq!(row.number.get(), 2 + accepted as u64, "{ours:?} {theirs:?}");
    assert!(accepted > 0);
    mesh.wait_version(row.number.get(), WAIT_LIMIT)
        .await
        .expect("is in force");
    assert_versions_increase(&mesh);
}

#[actix_web::test]
async fn bad_version_is_applied_nowhere_and_altered_content_is_fetched_again() {
    let mut mesh = start(2).await;
    let client = platform(&mut mesh);
    let mut dangling = snapshot_in_force(&client).await;
    dangling.services.clear();
    let body = dangling.to_bytes();
    let mut row = current_row(&client).await.row;
    row.number = row.number.next();
    row.hash = ContentHash::of(&body);
    row.object = "dangling".into();
    client
        .put_object("dangling", body, deadline())
        .await
        .expect("is stored");
    write_row(&client, &row).await;
    let is_refused = async || {
        let logs = mesh.node_names().into_iter();
        let mut logs = logs.map(|node| mesh.node(&node).expect("is known").log_text());
        logs.any(|log| log.contains("\"config-refused\""))
    };
    wait_until("the refusal", WAIT_LIMIT, is_refused)
        .await
        .expect("is logged");
    for node in mesh.node_names() {
        assert_eq!(applied_versions(&mesh, &node), [1], "{node}");
    }
    // The next version's object is corrupted first and repaired later.
    let attempt = PublishAttempt {
        token: AttemptToken::new(2),
        publisher: "other".into(),
        started_at: deadline(),
    };
    let current = current_row(&client).await;
    let mut good = dangling;
    good.routes.clear();
    let plan = PublishPlan::new(Some(&current), good, attempt).expect("is valid");
    let body = plan.version().body().clone();
    let cut_short = body.slice(..body.len() / 2);
    client
        .put_object(&plan.row().object, cut_short, deadline())
        .await
        .expect("is stored");
    write_row(&client, plan.row()).await;
    let is_logged = async || {
        let logs = mesh.node_names().into_iter();
        let mut logs = logs.map(|node| mesh.node(&node).expect("is known").log_text());
        logs.any(|log| log.contains("\"config-altered\""))
    };
    wait_until("the altered content", WAIT_LIMIT, is_logged)
        .await
        .expect("is logged");
    client
        .put_object(&plan.row().object, body, deadline())
        .await
        .expect("is stored");
    mesh.wait_version(3, TimeBudget::from_secs(60))
        .await
        .expect("is in force");
    for node in mesh.node_names() {
        assert_eq!(applied_versions(&mesh, &node), [1, 3], "{node}");
    }
}

#[actix_web::test]
async fn content_cut_short_between_nodes_is_fetched_again() {
    let mut mesh = start(2).await;
    // Truncates large responses: gossip gets through, content does not, until the rules run out.
    for centre in 1..=3 {
        let rule = ProxyRule::new(ProxyAction::Truncate(40))
            .with_listener(format!("dc{centre}/"))
            .with_next(6);
        mesh.add_rule(rule).await.expect("is set");
    }
    mesh.publish(&answers("v2")).await.expect("is accepted");
    mesh.wait_version(2, WAIT_LIMIT).await.expect("is in force");
    assert_versions_increase(&mesh);
}

#[actix_web::test]
async fn accepted_version_reaches_every_running_node_after_a_third_and_the_platform_fail() {
    let mut mesh = start(3).await;
    mesh.publish(&answers("v2")).await.expect("is accepted");
    for node in ["dc1-n1", "dc2-n1", "dc3-n1"] {
        mesh.node_mut(node)
            .expect("is known")
            .process()
            .expect("runs")
            .kill();
    }
    mesh.wait_version(2, WAIT_LIMIT).await.expect("is in force");
    mesh.publish(&answers("v3")).await.expect("is accepted");
    let is_read = async || {
        let names = mesh.node_names().into_iter();
        let mut names = names.filter(|node| !node.ends_with("-n1"));
        names.any(|node| applied_versions(&mesh, &node).contains(&3))
    };
    wait_until("a node that read version 3", WAIT_LIMIT, is_read)
        .await
        .expect("is in force");
    mesh.disconnect_platform().await.expect("is set");
    mesh.wait_version(3, WAIT_LIMIT).await.expect("is in force");
    mesh.wait_status("the platform away", WAIT_LIMIT, |status| {
        status.is_platform_away
    })
    .await
    .expect("is reported");
    assert_versions_increase(&mesh);
}

#[actix_web::test]
async fn cut_off_data_centre_serves_reports_its_state_and_converges_after_the_heal() {
    let mut mesh = start(2).await;
    let spec = BackendSpec::new("tracker", "v1");
    mesh.add_backend("dc2-n1", &spec).await.expect("starts");
    mesh.wait_backends("tracker", 1, WAIT_LIMIT)
        .await
        .expect("is known");
    for centre in [1, 3] {
        mesh.partition(2, centre, ProxyAction::Stall)
            .await
            .expect("is set");
    }
    mesh.partition_platform(2, ProxyAction::Stall)
        .await
        .expect("is set");
    mesh.publish(&answers("v2")).await.expect("is accepted");
    for node in mesh.node_names() {
        let is_cut = node.starts_with("dc2");
        let is_state_reported = async || {
            let status = mesh.status(&node).await;
            status.is_ok_and(|status| {
                let version = if is_cut { 1 } else { 2 };
                status.is_cut_off == is_cut && status.version_number() == version
            })
        };
        wait_until(
            &format!("the state of {node}"),
            WAIT_LIMIT,
            is_state_reported,
        )
        .await
        .expect("is reported");
    }
    for node in ["dc2-n1", "dc2-n2"] {
        let answer = mesh
            .call(node, &CallRequest::get("/v1/landing"))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{node}");
    }
    mesh.heal().await.expect("is set");
    mesh.wait_version(2, WAIT_LIMIT).await.expect("is in force");
    mesh.wait_status("no node cut off", WAIT_LIMIT, |status| {
        !status.is_cut_off && status.silent_data_centres.is_empty()
    })
    .await
    .expect("is reported");
    assert_versions_increase(&mesh);
}

#[actix_web::test]
async fn slow_platform_delays_a_version_and_loses_none() {
    let mut mesh = start(2).await;
    let faults = PlatformFaults {
        delay_ms: 2_000,
        ..PlatformFaults::default()
    };
    mesh.platform().set_faults(&faults).await.expect("is set");
    for number in 2..=3 {
        mesh.publish(&answers(&format!("v{number}")))
            .await
            .expect("is accepted");
        mesh.wait_version(number, WAIT_LIMIT)
            .await
            .expect("is in force");
    }
    assert_versions_increase(&mesh);
}

#[actix_web::test]
async fn servers_that_leave_die_or_freeze_get_no_work_and_new_ones_do() {
    let mut mesh = start(2).await;
    let spec = BackendSpec::new("tracker", "v1");
    let first = mesh.add_backend("dc1-n1", &spec).await.expect("starts");
    mesh.add_backend("dc2-n1", &spec).await.expect("starts");
    mesh.add_backend("dc3-n1", &spec).await.expect("starts");
    mesh.wait_backends("tracker", 3, WAIT_LIMIT)
        .await
        .expect("are known");
    // One server crashes, one loses its node to a crash, and one is beside a node that freezes.
    mesh.backend_mut(&first).expect("is known").process().kill();
    mesh.wait_backends("tracker", 2, WAIT_LIMIT)
        .await
        .expect("is forgotten");
    mesh.node_mut("dc2-n1")
        .expect("is known")
        .process()
        .expect("runs")
        .kill();
    mesh.wait_backends("tracker", 1, WAIT_LIMIT)
        .await
        .expect("is forgotten");
    let before = mesh.status("dc3-n1").await.expect("an answer").incarnation;
    mesh.node_mut("dc3-n1")
        .expect("is known")
        .process()
        .expect("runs")
        .pause()
        .expect("stops");
    let names: Vec<_> = mesh.node_names();
    for node in names
        .iter()
        .filter(|node| !["dc2-n1", "dc3-n1"].contains(&node.as_str()))
    {
        let is_forgotten = async || {
            let service = "tracker".parse().expect("a valid name");
            let status = mesh.status(node).await;
            status.is_ok_and(|status| status.serving_backend_count(&service) == 0)
        };
        wait_until(
            &format!("{node} drops the servers"),
            WAIT_LIMIT,
            is_forgotten,
        )
        .await
        .expect("are dropped");
    }
    sleep(LONGER_THAN_LEASE).await;
    mesh.node_mut("dc3-n1")
        .expect("is known")
        .process()
        .expect("runs")
        .resume()
        .expect("runs on");
    mesh.wait_backends("tracker", 1, WAIT_LIMIT)
        .await
        .expect("is known again");
    let after = mesh.status("dc3-n1").await.expect("an answer").incarnation;
    assert!(
        after > before,
        "the resumed node rejoined under a new incarnation"
    );
    let log = mesh.node("dc3-n1").expect("is known").log_text();
    assert!(log.contains("\"woke\""), "{log}");
}

#[actix_web::test]
async fn server_that_died_while_its_node_was_frozen_gets_no_work_after_the_node_resumes() {
    let mut mesh = start(1).await;
    let spec = BackendSpec::new("tracker", "v1");
    let server = mesh.add_backend("dc1-n1", &spec).await.expect("starts");
    mesh.wait_backends("tracker", 1, WAIT_LIMIT)
        .await
        .expect("is known");
    mesh.node_mut("dc1-n1")
        .expect("is known")
        .process()
        .expect("runs")
        .pause()
        .expect("stops");
    mesh.backend_mut(&server)
        .expect("is known")
        .process()
        .kill();
    for node in ["dc2-n1", "dc3-n1"] {
        let is_lost = async || {
            let status = mesh.status(node).await;
            status.is_ok_and(|status| status.serving_member_count() == 2)
        };
        wait_until(
            &format!("{node} drops the frozen node"),
            WAIT_LIMIT,
            is_lost,
        )
        .await
        .expect("is lost");
    }
    mesh.node_mut("dc1-n1")
        .expect("is known")
        .process()
        .expect("runs")
        .resume()
        .expect("runs on");
    mesh.wait_backends("tracker", 0, WAIT_LIMIT)
        .await
        .expect("none is left");
    mesh.wait_status("all serving", WAIT_LIMIT, |status| {
        status.serving_member_count() == 3
    })
    .await
    .expect("the resumed node rejoins");
}

#[actix_web::test]
async fn few_nodes_read_the_platform_and_restarted_nodes_do_not_each_read_content() {
    let mut mesh = start(4).await;
    // Nodes select the same readers once they know the same members.
    sleep(Duration::from_secs(2)).await;
    mesh.platform().reset_counters().await.expect("is reset");
    sleep(Duration::from_secs(5)).await;
    let counters = mesh.platform().counters().await.expect("an answer");
    assert!(counters.readers.len() <= 6, "{:?}", counters.readers);
    assert_eq!(counters.objects_read, 0);
    let restarted: Vec<_> = mesh
        .node_names()
        .into_iter()
        .filter(|node| !node.ends_with("-n1"))
        .collect();
    for node in &restarted {
        mesh.node_mut(node)
            .expect("is known")
            .process()
            .expect("runs")
            .kill();
    }
    mesh.platform().reset_counters().await.expect("is reset");
    for node in &restarted {
        mesh.start_node(node).await.expect("starts again");
    }
    mesh.wait_version(1, WAIT_LIMIT).await.expect("is in force");
    let counters = mesh.platform().counters().await.expect("an answer");
    assert!(
        counters.objects_read <= 6,
        "{} of {}",
        counters.objects_read,
        restarted.len()
    );
}

#[actix_web::test]
async fn malformed_oversized_and_wrong_key_messages_are_counted_and_closed() {
    let mesh = start(1).await;
    let peers = mesh.node("dc1-n1").expect("is known").addresses().peers;
    let wrong_key = "another key of 16 or more".parse().expect("is long enough");
    let mut stream = TcpStream::connect(peers).await.expect("connects");
    assert!(
        connect_peer(&mut stream, &wrong_key, [1; 32])
            .await
            .is_err()
    );
    let mut stream = TcpStream::connect(peers).await.expect("connects");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("is sent");
    expect_closed(&mut stream).await;
    let mut stream = connect_authenticated(peers).await;
    stream
        .write_all(&[0, 0, 0, 3, 9, 9, 9])
        .await
        .expect("is sent");
    expect_closed(&mut stream).await;
    let mut stream = connect_authenticated(peers).await;
    stream
        .write_all(&[0x7f, 0xff, 0xff, 0xff, 0])
        .await
        .expect("is sent");
    expect_closed(&mut stream).await;
    let is_counted = async || {
        let log = mesh.node("dc1-n1").expect("is known").log_text();
        log.matches("\"peer-refused\"").count() == 4
    };
    wait_until("four refused peers", WAIT_LIMIT, is_counted)
        .await
        .expect("each is logged once");
    let status = mesh.status("dc1-n1").await.expect("the node lives on");
    assert_eq!(status.state, MemberState::Serving);
}

async fn connect_authenticated(peers: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    let mut stream = socket.connect(peers).await.expect("connects");
    let key = MESH_KEY.parse().expect("is long enough");
    connect_peer(&mut stream, &key, [2; 32])
        .await
        .expect("is let in");
    stream
}

async fn expect_closed(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let read = timeout(WAIT_LIMIT.to_std(), stream.read_to_end(&mut rest)).await;
    // A connection reset counts as closed.
    let _ = read
        .expect("the connection ends")
        .map(|_| Bytes::from(rest));
}
