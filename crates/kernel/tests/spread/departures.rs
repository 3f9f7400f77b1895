//! Departures of backend servers whose node is restarted after it has acknowledged them.

use bronzelb_kernel::{
    clock::ClockInstant,
    ids::{BackendName, NodeName},
    member::{BackendIncarnation, DepartureNotice, DepartureTable},
    spread::RecordEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::fixture::MeshFixture;

const SETTLE_MS: u64 = 30_000;
/// Longest wait of an acknowledgement for copies at other nodes.
const COPY_TIMEOUT_MS: u64 = 700;
const COPY_CHECK_MS: u64 = 10;
/// Lease of a heartbeat.
const LEASE_MS: u64 = 6_000;

fn incarnation() -> BackendIncarnation {
    BackendIncarnation {
        started_at: ClockInstant::from_millis(500_000),
    }
}

fn server(node: &NodeName) -> BackendName {
    format!("server-{node}").parse().expect("is a name")
}

fn notice(mesh: &MeshFixture, node: &NodeName) -> RecordEntry {
    DepartureNotice::of_gone(incarnation(), mesh.now).to_record(&server(node))
}

fn holders(mesh: &MeshFixture, entry: &RecordEntry) -> usize {
    let nodes = mesh.nodes.values();
    nodes
        .filter(|node| node.records().get(&entry.key).is_some())
        .count()
}

/// Records a departure at its node and waits for copies as the acknowledgement does; returns
/// whether it is acknowledged.
fn acknowledge(mesh: &mut MeshFixture, node: &NodeName, entry: &RecordEntry) -> bool {
    mesh.apply(node, |gossip| {
        let put = gossip.put_record(entry.key.clone(), entry.value.clone());
        assert_eq!(put, Ok(true));
    });
    for _ in 0..COPY_TIMEOUT_MS / COPY_CHECK_MS {
        if holders(mesh, entry) > 2 {
            return true;
        }
        mesh.run_for(COPY_CHECK_MS);
    }
    holders(mesh, entry) > 1
}

/// Restarts the node of a departed server at a random moment within the lease, and checks that it
/// knows the departure as soon as it would use the server.
fn check_restarts(centres: u8, per_centre: u8, restarts: u64, loss_percent: u32) {
    let size = u32::from(centres) * u32::from(per_centre);
    let mut mesh = MeshFixture::new(u64::from(size), centres, per_centre);
    let number = mesh.publish("first");
    mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
    mesh.run_for(SETTLE_MS);
    let mut rng = StdRng::seed_from_u64(u64::from(size));
    let mut acknowledged = 0;
    for restart in 0..restarts {
        let node = mesh.names().choose(&mut rng).expect("has nodes").clone();
        mesh.loss_percent = loss_percent;
        let entry = notice(&mesh, &node);
        acknowledged += u64::from(acknowledge(&mut mesh, &node, &entry));
        mesh.run_for(rng.random_range(0..LEASE_MS));
        mesh.kill(&node);
        mesh.run_for(rng.random_range(0..1_000));
        mesh.start(&node);
        mesh.loss_percent = loss_percent / 2;
        mesh.run_until(SETTLE_MS, |mesh| {
            let gossip = &mesh.nodes[&node];
            let is_known = gossip.records().get(&entry.key).is_some();
            assert!(
                is_known || !gossip.knows_records(mesh.now),
                "{size} nodes, restart {restart}: {node} uses a server that left"
            );
            gossip.knows_records(mesh.now)
        });
        mesh.loss_percent = 0;
        mesh.run_for(SETTLE_MS);
    }
    assert!(
        acknowledged * 10 >= restarts * 9,
        "{acknowledged} of {restarts}"
    );
}

/// Guards against a departure that its node forgets with its process, in meshes of all sizes.
#[test]
fn restarted_node_knows_acknowledged_departures_before_it_uses_its_servers() {
    check_restarts(3, 4, 60, 0);
    check_restarts(3, 4, 60, 20);
    check_restarts(2, 37, 10, 5);
    check_restarts(5, 59, 3, 0);
}

/// Guards against a node that holds its servers back for good because no other one is there.
#[test]
fn node_without_peers_uses_its_servers_soon() {
    let mut mesh = MeshFixture::new(3, 1, 1);
    let node = mesh.names()[0].clone();
    let wait = mesh.options.record_wait.as_millis();
    mesh.run_for(wait + COPY_CHECK_MS);
    assert!(mesh.nodes[&node].knows_records(mesh.now));
}

/// Guards against records of departures that accumulate for as long as the mesh runs.
#[test]
fn departures_expire_at_every_node() {
    let mut mesh = MeshFixture::new(5, 2, 3);
    let number = mesh.publish("first");
    mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
    let node = mesh.names()[0].clone();
    let entry = notice(&mesh, &node);
    assert!(acknowledge(&mut mesh, &node, &entry));
    mesh.run_until(SETTLE_MS, |mesh| holders(mesh, &entry) == 6);
    let ten_minutes = 600_000;
    mesh.run_for(ten_minutes + SETTLE_MS);
    assert_eq!(holders(&mesh, &entry), 0);
}

/// Guards against an earlier departure that is forgotten because of its name while later ones stay.
#[test]
fn oldest_departure_is_evicted_first() {
    let mut table = DepartureTable::new();
    let name = |number: u64| -> BackendName {
        let text = format!("server-{:04}", 9_999 - number);
        text.parse().expect("is a name")
    };
    let note = |table: &mut DepartureTable, number: u64| {
        let now = ClockInstant::from_millis(1_000_000 + number);
        table.record(&name(number), DepartureNotice::of_gone(incarnation(), now));
    };
    for number in 0..=4_096 {
        note(&mut table, number);
    }
    assert!(table.get(&name(0)).is_none());
    assert!((1..=4_096).all(|number| table.get(&name(number)).is_some()));
}
