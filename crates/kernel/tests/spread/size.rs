//! Tests for the cost of gossip per node as the fleet grows.

use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::TimeBudget,
    ids::{NodeName, RouteName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberState, StatedLimit},
    request::TimePublisher,
    spread::READERS_PER_DATA_CENTRE,
};

use crate::fixture::MeshFixture;

/// Data centres of the meshes.
const CENTRES: u8 = 5;
/// Nodes per data centre: fleets of 15, 75 and 295 nodes.
const FLEETS: [u8; 3] = [3, 15, 59];
/// Number of seed peers that a node knows when it starts.
const SEEDS: usize = 3;
/// Bytes a second that a node may spend on control, by the users' letter.
const CONTROL_BYTES_PER_SECOND: f64 = 26_000.0;
/// Growth of the messages per node from the smallest to the largest fleet that still counts as none.
const MAX_GROWTH: f64 = 1.5;
/// Time from the start of the VMs to the start of the traffic.
const LEAD_MS: u64 = 10_000;
/// Time within which the nodes that start together know each other.
const JOIN_MS: u64 = 5_000;
/// Time within which a leaving server must be known everywhere.
const LEAVE_MS: u64 = 2_000;
/// Time within which an accepted version must be in force everywhere.
const VERSION_MS: u64 = 2_000;
/// Nodes of a data centre that have a lease row in the platform.
const ANNOUNCED_PER_DATA_CENTRE: u64 = 8;
const MEASURED_MS: u64 = 8_000;
/// Time after a power loss from which requests must be served again, by the users' rules.
const RECOVER_MS: u64 = 15_000;

/// Messages and bytes that one node sends in a second.
#[derive(Clone, Copy, Debug)]
struct NodeRate {
    messages: f64,
    bytes: f64,
}

fn measure(
    mesh: &mut MeshFixture,
    millis: u64,
    mut step: impl FnMut(&mut MeshFixture),
) -> NodeRate {
    let before = mesh.traffic;
    for _ in 0..millis / 500 {
        step(mesh);
        mesh.run_for(500);
    }
    let node_seconds = mesh.nodes.len() as f64 * millis as f64 / 1_000.0;
    NodeRate {
        messages: (mesh.traffic.messages - before.messages) as f64 / node_seconds,
        bytes: (mesh.traffic.bytes - before.bytes) as f64 / node_seconds,
    }
}

fn assert_independent_of_size(rates: &[NodeRate]) {
    println!("{rates:#.1?}");
    let (smallest, largest) = (rates[0], rates[rates.len() - 1]);
    assert!(
        largest.messages <= smallest.messages * MAX_GROWTH,
        "messages grow with the fleet: {rates:?}"
    );
    for rate in rates {
        assert!(
            rate.bytes <= CONTROL_BYTES_PER_SECOND,
            "a node sends too many bytes: {rates:?}"
        );
    }
}

fn knows_all(mesh: &MeshFixture) -> bool {
    let count = mesh.nodes.len();
    let mut nodes = mesh.nodes.values();
    nodes.all(|node| node.members().live().count() == count)
}

fn backend(node: &NodeName) -> BackendRow {
    BackendRow {
        incarnation: BackendIncarnation::default(),
        limit: StatedLimit::Unknown,
        name: format!("server-of-{node}").parse().unwrap(),
        service: "tracker".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(7),
        state: BackendState::Serving,
        is_reported_healthy: true,
        cold_until: None,
        times: BTreeMap::new(),
    }
}

/// Starts a mesh in which every node serves and has a backend server.
fn serving_mesh(per_centre: u8) -> MeshFixture {
    let mut mesh = MeshFixture::first_start(7, CENTRES, per_centre, SEEDS);
    let number = mesh.publish("first");
    for node in mesh.names() {
        mesh.apply(&node, |gossip| gossip.set_backends(vec![backend(&node)]));
    }
    mesh.run_until(LEAD_MS, |mesh| mesh.all_have(number) && knows_all(mesh));
    mesh.run_for(JOIN_MS);
    mesh
}

/// Measured times of every server, which fluctuate around their mean.
struct FluctuatingTimes {
    publishers: BTreeMap<NodeName, TimePublisher>,
    rounds: u64,
}

impl FluctuatingTimes {
    fn new(mesh: &MeshFixture) -> Self {
        let names = mesh.names().into_iter();
        Self {
            publishers: names.map(|node| (node, TimePublisher::default())).collect(),
            rounds: 0,
        }
    }

    /// Publishes the times of the servers whose publishers consider that worthwhile.
    fn publish(&mut self, mesh: &mut MeshFixture) {
        self.rounds += 1;
        let route: RouteName = "live-payload-position".parse().unwrap();
        let members = mesh.nodes.len();
        for (index, (node, times)) in self.publishers.iter_mut().enumerate() {
            // Up and down by half, at another moment at each server.
            let is_high = ((self.rounds + index as u64) / 4).is_multiple_of(2);
            let time = TimeBudget::from_millis(if is_high { 150 } else { 100 });
            if !times.update(mesh.now, members, [(&route, time)].into_iter()) {
                continue;
            }
            let mut row = backend(node);
            row.times.clone_from(times.published());
            mesh.apply(node, |gossip| gossip.set_backends(vec![row]));
        }
    }
}

#[test]
fn nodes_that_start_together_know_each_other_in_time_at_any_size() {
    for per_centre in FLEETS {
        let mut mesh = MeshFixture::first_start(3, CENTRES, per_centre, SEEDS);
        let millis = mesh.run_until(JOIN_MS, knows_all);
        println!("{} nodes: {millis} ms", mesh.nodes.len());
    }
}

#[test]
fn nodes_that_wait_for_a_configuration_send_little_at_any_size() {
    let rates = FLEETS.map(|per_centre| {
        let mut mesh = MeshFixture::first_start(3, CENTRES, per_centre, SEEDS);
        measure(&mut mesh, LEAD_MS, |_| {})
    });
    assert_independent_of_size(&rates);
}

#[test]
fn starting_fleet_calls_the_platform_no_more_often_than_its_readers_need() {
    for per_centre in FLEETS {
        let mut mesh = MeshFixture::first_start(5, CENTRES, per_centre, SEEDS);
        mesh.run_for(LEAD_MS);
        let nodes = mesh.nodes.len() as u64;
        let announced = nodes.min(u64::from(CENTRES) * ANNOUNCED_PER_DATA_CENTRE);
        println!(
            "{nodes} nodes: {} lease rows",
            mesh.platform.lease_row_writes
        );
        assert!(
            mesh.platform.lease_row_writes <= announced * 2,
            "{nodes} nodes wrote {} lease rows",
            mesh.platform.lease_row_writes
        );
        let readers = mesh.nodes.values().filter(|node| node.is_reader()).count();
        assert_eq!(
            readers,
            usize::from(CENTRES) * READERS_PER_DATA_CENTRE,
            "{nodes} nodes"
        );
    }
}

#[test]
fn new_version_is_in_force_everywhere_in_time_at_any_size() {
    for per_centre in FLEETS {
        let mut mesh = serving_mesh(per_centre);
        let mut times = FluctuatingTimes::new(&mesh);
        measure(&mut mesh, JOIN_MS, |mesh| times.publish(mesh));
        let number = mesh.publish("second");
        let millis = mesh.run_until(VERSION_MS, |mesh| mesh.all_have(number));
        println!("{} nodes: {millis} ms", mesh.nodes.len());
    }
}

#[test]
fn node_that_restarts_in_a_running_mesh_serves_no_older_version_than_the_platforms() {
    for seed in 0..10 {
        let mut mesh = MeshFixture::first_start(seed, CENTRES, 3, SEEDS);
        let first = mesh.publish("first");
        mesh.run_until(LEAD_MS, |mesh| mesh.all_have(first));
        mesh.run_for(JOIN_MS);
        let node = mesh.names()[7].clone();
        mesh.kill(&node);
        mesh.run_for(1_000);
        let second = mesh.publish("second");
        mesh.start(&node);
        mesh.run_until(LEAVE_MS, |mesh| mesh.number_of(&node).is_some());
        assert_eq!(mesh.number_of(&node), Some(second), "seed {seed}");
    }
}

#[test]
fn fleet_that_loses_power_after_an_acknowledgement_serves_that_version_at_any_size() {
    for per_centre in FLEETS {
        let mut mesh = serving_mesh(per_centre);
        let first = mesh.number_of(&mesh.names()[0]).expect("it serves");
        // The platform has acknowledged the version, and hardly a node has read it.
        let number = mesh.publish("second");
        mesh.run_for(5);
        let names = mesh.names();
        for node in &names {
            mesh.kill(node);
        }
        mesh.run_for(1_000);
        for node in &names {
            mesh.start(node);
        }
        let serves_first = |mesh: &MeshFixture| {
            let mut nodes = names.iter();
            nodes.any(|node| mesh.number_of(node) == Some(first))
        };
        let millis = mesh.run_until(RECOVER_MS, |mesh| {
            assert!(!serves_first(mesh), "an older version is in force again");
            mesh.all_have(number) && knows_all(mesh)
        });
        println!("{} nodes: {millis} ms", mesh.nodes.len());
    }
}

#[test]
fn fluctuating_service_times_cost_each_node_the_same_at_any_size() {
    let rates = FLEETS.map(|per_centre| {
        let mut mesh = serving_mesh(per_centre);
        let mut times = FluctuatingTimes::new(&mesh);
        measure(&mut mesh, MEASURED_MS, |mesh| times.publish(mesh))
    });
    assert_independent_of_size(&rates);
}

#[test]
fn leaving_server_is_known_everywhere_in_time_while_service_times_fluctuate() {
    for per_centre in FLEETS {
        let mut mesh = serving_mesh(per_centre);
        let mut times = FluctuatingTimes::new(&mesh);
        measure(&mut mesh, JOIN_MS, |mesh| times.publish(mesh));
        let owner = mesh.names()[4].clone();
        mesh.apply(&owner, |gossip| {
            let mut row = backend(&owner);
            row.state = BackendState::Draining;
            gossip.set_backends(vec![row]);
        });
        let millis = mesh.run_until(LEAVE_MS, |mesh| {
            mesh.nodes.values().all(|node| {
                let row = node.members().get(&owner).expect("the owner is known");
                row.state == MemberState::Serving && row.backends[0].state == BackendState::Draining
            })
        });
        println!("{} nodes: {millis} ms", mesh.nodes.len());
    }
}
