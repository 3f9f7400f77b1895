//! Nodes that restart while nothing but the other nodes can tell them of the mesh.

use bronzelb_kernel::{ids::NodeName, member::MemberState};

use crate::fixture::MeshFixture;

/// Time in which a supervisor restarts a process.
const RESTART_MILLIS: u64 = 500;
/// Time in which every node learns of the return: the mean time between two exchanges of a node, so
/// that what it knows is as old as one exchange.
const MAX_RETURN_MILLIS: u64 = 1_000;

/// Stops a node as a rolling stop does, and starts it again without seeds.
fn restart(mesh: &mut MeshFixture, node: &NodeName) {
    mesh.leave(node);
    mesh.run_for(300);
    mesh.kill(node);
    mesh.run_for(RESTART_MILLIS);
    mesh.start(node);
}

fn is_known_everywhere(mesh: &MeshFixture, node: &NodeName) -> bool {
    let incarnation = mesh.nodes[node].own().incarnation;
    mesh.nodes.values().all(|other| {
        let row = other.members().get(node);
        row.is_some_and(|row| row.incarnation == incarnation && row.state <= MemberState::Serving)
    })
}

/// Guards against a restarted node whose server stays idle because no peer contacts it: the node
/// has no seeds, and the platform, where it would find some, is away.
#[test]
fn restarted_node_is_found_with_the_platform_away() {
    for (seed, centres, per_centre) in [(1, 4, 3), (2, 4, 19), (3, 5, 59)] {
        let mut mesh = MeshFixture::new(seed, centres, per_centre);
        let version = mesh.publish("/a");
        mesh.run_until(20_000, |mesh| mesh.all_have(version));
        mesh.run_for(5_000);
        // Half of the nodes have been taken away; the periodic exchange tries them as well.
        let names = mesh.names();
        for node in names.iter().skip(names.len() / 2) {
            mesh.leave(node);
            mesh.run_for(100);
            mesh.kill(node);
        }
        mesh.platform.is_unreachable = true;
        mesh.has_seeds = false;
        mesh.run_for(6_000);
        // Three neighbours, as in a rolling stop, one second apart.
        for node in names.iter().take(3) {
            restart(&mut mesh, node);
            let (started_at, expected) = (mesh.now, node.clone());
            let took = mesh.run_until(5_000, |mesh| is_known_everywhere(mesh, &expected));
            assert!(
                took <= MAX_RETURN_MILLIS,
                "{node} of {}: {took} ms",
                names.len()
            );
            // It hosts before the platform wait of two seconds is over.
            assert!(mesh.nodes[node].may_host(mesh.now), "{node} does not host");
            assert!(!mesh.nodes[node].may_act(mesh.now), "{node} did not wait");
            assert!(started_at.elapsed(mesh.now).as_millis() < 2_000);
        }
    }
}

/// Guards against a node that passes on requests although it has not heard from the mesh: its word
/// of which servers have left may be older than the restart.
#[test]
fn node_without_contact_does_not_host() {
    let mut mesh = MeshFixture::new(4, 1, 2);
    let version = mesh.publish("/a");
    mesh.run_until(20_000, |mesh| mesh.all_have(version));
    mesh.platform.is_unreachable = true;
    mesh.has_seeds = false;
    let names = mesh.names();
    mesh.kill(&names[0]);
    mesh.kill(&names[1]);
    mesh.run_for(RESTART_MILLIS);
    mesh.start(&names[0]);
    mesh.run_for(1_000);
    assert!(!mesh.nodes[&names[0]].may_host(mesh.now));
}

/// Guards against watchers that contact departed nodes without end or in numbers that grow with the
/// mesh.
#[test]
fn watch_of_departed_nodes_costs_little_and_ends() {
    let mut messages = Vec::new();
    for (seed, centres, per_centre) in [(5, 4, 3), (6, 4, 19), (7, 5, 59)] {
        let mut mesh = MeshFixture::new(seed, centres, per_centre);
        let version = mesh.publish("/a");
        mesh.run_until(20_000, |mesh| mesh.all_have(version));
        mesh.run_for(5_000);
        let node = mesh.names()[0].clone();
        mesh.leave(&node);
        mesh.run_for(300);
        mesh.kill(&node);
        mesh.run_for(1_000);
        let unanswered = |mesh: &MeshFixture| -> u64 {
            let nodes = mesh.nodes.values();
            nodes.map(|node| node.counters().unanswered_messages).sum()
        };
        let (before, nodes) = (unanswered(&mesh), mesh.nodes.len() as u64);
        mesh.run_for(4_000);
        let watched = unanswered(&mesh) - before;
        mesh.run_for(10_000);
        let after = unanswered(&mesh);
        mesh.run_for(4_000);
        let unwatched = unanswered(&mesh) - after;
        // Three watchers, five messages a second, four seconds; some watchers' news comes later.
        assert!(
            watched <= unwatched + 3 * 5 * 4 + 6,
            "{nodes}: {watched} against {unwatched}"
        );
        messages.push((nodes, watched, unwatched));
    }
    println!("nodes, unanswered messages in 4 s while watched and afterwards: {messages:?}");
}
