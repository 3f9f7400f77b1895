//! Operators' orders at the start of a node.

use bronzelb_kernel::{
    ids::{NodeName, RowRevision},
    placement::EvacuationOrder,
};

use crate::fixture::MeshFixture;

const SETTLE_MS: u64 = 20_000;

fn order() -> EvacuationOrder {
    EvacuationOrder {
        data_centre: "dc1".parse().expect("is a name"),
        is_ordered: true,
        revision: RowRevision::new(7),
    }
}

fn knows_order(mesh: &MeshFixture, node: &NodeName) -> bool {
    let records = mesh.nodes[node].records();
    records
        .get(&EvacuationOrder::key(&order().data_centre))
        .is_some()
}

fn start_with_orders(mesh: &mut MeshFixture, node: &NodeName) {
    mesh.start(node);
    let started = mesh.nodes.get_mut(node).expect("was started");
    started.require_orders();
}

/// Runs until `node` is ready, and fails if it is before it knows the order.
fn run_until_ready(mesh: &mut MeshFixture, node: &NodeName, seed: u64) {
    mesh.run_until(SETTLE_MS, |mesh| {
        let is_ready = mesh.nodes[node].is_ready(mesh.now);
        assert!(!is_ready || knows_order(mesh, node), "seed {seed}");
        is_ready
    });
}

/// Guards against a node that serves without an order that its peers know: the platform is away,
/// and many messages are lost.
#[test]
fn starting_node_is_ready_only_with_the_orders_of_its_peers() {
    for seed in 0..100 {
        let mut mesh = MeshFixture::new(seed, 2, 3);
        let number = mesh.publish("first");
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
        let names = mesh.names();
        let entry = order().to_record();
        let reader = mesh.nodes.get_mut(&names[1]).expect("runs");
        reader
            .put_record(entry.key, entry.value)
            .expect("is a record");
        mesh.run_until(SETTLE_MS, |mesh| {
            names.iter().all(|node| knows_order(mesh, node))
        });
        mesh.platform.is_unreachable = true;
        mesh.loss_percent = 70;
        start_with_orders(&mut mesh, &names[0]);
        run_until_ready(&mut mesh, &names[0], seed);
    }
}

/// Guards against a node that takes the version from peers of which none has read the orders, as
/// after a restart of the whole mesh while the platform is away.
#[test]
fn node_whose_peers_do_not_know_the_orders_is_not_ready() {
    let mut mesh = MeshFixture::new(1, 2, 3);
    let number = mesh.publish("first");
    mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
    let version = mesh
        .nodes
        .values()
        .find_map(|node| node.active_version().cloned());
    let version = version.expect("is in force");
    mesh.platform.is_unreachable = true;
    let names = mesh.names();
    for node in &names {
        start_with_orders(&mut mesh, node);
    }
    let now = mesh.now;
    let holder = mesh.nodes.get_mut(&names[1]).expect("runs");
    holder.install_version((*version).clone(), now);
    mesh.run_for(SETTLE_MS);
    assert!(
        names
            .iter()
            .all(|node| !mesh.nodes[node].is_ready(mesh.now))
    );
    mesh.platform.is_unreachable = false;
    mesh.run_until(SETTLE_MS, |mesh| {
        names.iter().all(|node| mesh.nodes[node].is_ready(mesh.now))
    });
}
