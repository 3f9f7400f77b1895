//! Tests for the distribution of versions over a lossy network, with invariants on every node.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigVersion, VersionStamp},
    ids::{NodeName, VersionNumber},
    spread::{
        FetchScheduler, FetchSource, GossipAction, PlatformState, VersionStore, select_readers,
    },
};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::fixture::{MeshFixture, snapshot};

const SETTLE_MS: u64 = 20_000;
/// Required limit for a change to be active on every node.
const PROPAGATION_LIMIT_MS: u64 = 5_000;

fn settled_mesh(seed: u64) -> MeshFixture {
    let mut mesh = MeshFixture::new(seed, 3, 4);
    let number = mesh.publish("first");
    mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
    mesh.run_for(3_000);
    mesh
}

#[test]
fn random_faults_never_roll_a_node_back_or_activate_an_invalid_version() {
    for seed in 0..24 {
        let mut mesh = MeshFixture::new(seed, 3, 4);
        mesh.loss_percent = 10;
        mesh.duplicate_percent = 20;
        mesh.alter_percent = 10;
        mesh.publish("first");
        for step in 0..60 {
            inject_fault(&mut mesh, step);
            let wait = mesh.rng.random_range(0..1_000);
            mesh.run_for(wait);
        }
        clear_faults(&mut mesh);
        let last = mesh.publish("last");
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(last));
    }
}

/// Injects a random fault or publishes a version; the fixture checks the invariants of every node
/// after every step.
fn inject_fault(mesh: &mut MeshFixture, step: u32) {
    let names = mesh.names();
    let node = names
        .choose(&mut mesh.rng)
        .expect("a mesh has nodes")
        .clone();
    match mesh.rng.random_range(0..10) {
        0 | 1 => {
            mesh.publish(&format!("step-{step}"));
        }
        2 => {
            mesh.publish_unchecked(dangling_body(step));
        }
        3 => mesh.kill(&node),
        4 if !mesh.nodes.contains_key(&node) => mesh.start(&node),
        5 => {
            mesh.paused.insert(node);
        }
        6 => mesh.paused.clear(),
        7 => {
            let centre = mesh.centre_of(&node);
            if !mesh.partitioned.remove(&centre) {
                mesh.partitioned.insert(centre);
            }
        }
        8 => mesh.platform.is_unreachable = !mesh.platform.is_unreachable,
        _ => mesh.platform.response_ms = mesh.rng.random_range(0..2_000),
    }
}

fn clear_faults(mesh: &mut MeshFixture) {
    mesh.loss_percent = 0;
    mesh.duplicate_percent = 0;
    mesh.alter_percent = 0;
    mesh.partitioned.clear();
    mesh.paused.clear();
    mesh.platform.is_unreachable = false;
    mesh.platform.response_ms = 0;
    for node in mesh.names() {
        if !mesh.nodes.contains_key(&node) {
            mesh.start(&node);
        }
    }
}

/// Returns a body whose route refers to a service that does not exist.
fn dangling_body(step: u32) -> Bytes {
    let mut snapshot = snapshot(&format!("dangling-{step}"));
    snapshot.services.clear();
    snapshot.to_bytes()
}

#[test]
fn accepted_version_is_active_on_every_node_within_the_limit() {
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        let number = mesh.publish("second");
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| mesh.all_have(number));
    }
}

#[test]
fn accepted_version_reaches_every_node_while_a_third_of_them_fails() {
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        let number = mesh.publish("second");
        for node in mesh.names().into_iter().step_by(3) {
            mesh.run_for(40);
            mesh.kill(&node);
        }
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| mesh.all_have(number));
    }
}

#[test]
fn version_read_by_one_node_reaches_all_while_the_platform_is_unreachable() {
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        let number = mesh.publish("second");
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| {
            mesh.names()
                .iter()
                .any(|node| mesh.number_of(node) == Some(number))
        });
        mesh.platform.is_unreachable = true;
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| mesh.all_have(number));
        mesh.run_for(10_000);
        let node = &mesh.names()[0];
        let state = mesh.nodes[node].platform_state(mesh.now);
        assert!(matches!(state, PlatformState::Unreachable(_)), "{state:?}");
    }
}

#[test]
fn partitioned_data_centre_keeps_serving_reports_it_and_converges_afterwards() {
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        let first = mesh.number_of(&mesh.names()[0]);
        mesh.partitioned.insert("dc2".parse().unwrap());
        let number = mesh.publish("second");
        mesh.run_for(30_000);
        for node in mesh.names() {
            let is_partitioned = mesh.centre_of(&node).as_str() == "dc2";
            let expected = if is_partitioned { first } else { Some(number) };
            assert_eq!(mesh.number_of(&node), expected, "seed {seed}, {node}");
            let gossip_node = &mesh.nodes[&node];
            assert!(gossip_node.is_ready(mesh.now), "seed {seed}, {node}");
            assert_eq!(
                gossip_node.is_cut_off(mesh.now),
                is_partitioned,
                "seed {seed}, {node}"
            );
        }
        mesh.partitioned.clear();
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| mesh.all_have(number));
    }
}

#[test]
fn slow_platform_delays_a_version_only_by_its_response_times() {
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        mesh.platform.response_ms = 2_000;
        mesh.run_for(5_000);
        let number = mesh.publish("second");
        // Allows for a row read in flight, the one that returns the new row, and a read of the
        // body.
        mesh.run_until(3 * 2_000 + PROPAGATION_LIMIT_MS, |mesh| {
            mesh.all_have(number)
        });
    }
}

#[test]
fn invalid_versions_are_applied_nowhere_and_the_next_valid_one_everywhere() {
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        let first = mesh.number_of(&mesh.names()[0]).unwrap();
        mesh.publish_unchecked(dangling_body(1));
        mesh.run_for(5_000);
        assert!(mesh.all_have(first), "seed {seed}");
        mesh.publish_unchecked(Bytes::from_static(b"{\"mesh\":"));
        mesh.run_for(5_000);
        assert!(mesh.all_have(first), "seed {seed}");
        let refused = mesh.nodes.values().any(|node| node.counters().refused > 0);
        assert!(refused, "seed {seed}");
        let good = mesh.publish("good");
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| mesh.all_have(good));
    }
}

#[test]
fn announced_version_is_fetched_without_waiting_for_periodic_work() {
    let mut mesh = settled_mesh(1);
    let names = mesh.names();
    let (announcer, receiver) = (&names[0], &names[1]);
    mesh.run_for(1_000);
    let mut header = mesh.nodes[announcer].header();
    header.stamp = header.stamp.map(|stamp| VersionStamp {
        number: stamp.number.next(),
        ..stamp
    });
    let mut node = mesh.nodes[receiver].clone();
    let _ = node.take_actions();
    node.handle_contact(&header, mesh.now);
    assert!(node.needs_tick());
    assert!(node.next_tick(mesh.now) <= mesh.now);
    node.tick(mesh.now, &mut mesh.rng);
    let actions = node.take_actions();
    let is_fetch = |action: &GossipAction| matches!(action, GossipAction::Fetch(_));
    assert!(actions.iter().any(is_fetch), "{actions:?}");
}

#[test]
fn altered_content_is_detected_and_fetched_again() {
    let mut all_altered = 0;
    for seed in 0..20 {
        let mut mesh = settled_mesh(seed);
        mesh.alter_percent = 40;
        let number = mesh.publish("second");
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
        let altered: u64 = mesh
            .nodes
            .values()
            .map(|node| node.counters().altered)
            .sum();
        assert_eq!(altered > 0, mesh.altered_replies > 0, "seed {seed}");
        all_altered += altered;
    }
    assert!(all_altered > 0);
}

#[test]
fn node_restarted_among_stale_peers_takes_the_newest_version_that_any_peer_holds() {
    for seed in 0..30 {
        let mut mesh = settled_mesh(seed);
        let names: Vec<NodeName> = mesh.names();
        // Only the last node of the first data centre receives the second version.
        mesh.partitioned.insert("dc1".parse().unwrap());
        mesh.platform.is_unreachable = true;
        mesh.run_for(8_000);
        mesh.paused.extend(names[0..3].iter().cloned());
        mesh.platform.is_unreachable = false;
        mesh.partitioned.clear();
        let number = mesh.publish("second");
        mesh.run_until(PROPAGATION_LIMIT_MS, |mesh| {
            mesh.number_of(&names[3]) == Some(number)
        });
        mesh.platform.is_unreachable = true;
        mesh.partitioned.insert("dc1".parse().unwrap());
        mesh.paused.clear();
        mesh.start(&names[0]);
        mesh.run_until(SETTLE_MS, |mesh| mesh.nodes[&names[0]].is_ready(mesh.now));
        assert_eq!(mesh.number_of(&names[0]), Some(number), "seed {seed}");
    }
}

#[test]
fn restarted_node_prefers_the_platform_over_stale_peers() {
    for seed in 0..30 {
        let mut mesh = settled_mesh(seed);
        let names: Vec<NodeName> = mesh.names();
        mesh.paused.extend(names.iter().cloned());
        let number = mesh.publish("second");
        mesh.run_for(2_000);
        mesh.paused.clear();
        mesh.start(&names[0]);
        mesh.run_until(SETTLE_MS, |mesh| mesh.nodes[&names[0]].is_ready(mesh.now));
        assert_eq!(mesh.number_of(&names[0]), Some(number), "seed {seed}");
    }
}

#[test]
fn platform_reads_do_not_grow_with_the_number_of_nodes() {
    let mut reads = Vec::new();
    for per_centre in [4, 16] {
        let mut mesh = MeshFixture::new(7, 3, per_centre);
        let number = mesh.publish("first");
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
        mesh.run_for(5_000);
        for node in mesh.nodes.values() {
            let centre = node.own().data_centre.clone();
            assert_eq!(select_readers(node.members(), &centre).len(), 2);
        }
        let readers = mesh.nodes.values().filter(|node| node.is_reader()).count();
        assert_eq!(readers, 6);
        let before = mesh.platform.version_row_reads;
        mesh.run_for(10_000);
        reads.push(mesh.platform.version_row_reads - before);
    }
    // Six readers poll twice per second on average, with jitter.
    assert!(reads.iter().all(|count| *count < 6 * 3 * 10), "{reads:?}");
}

#[test]
fn restarting_nodes_fetch_content_from_peers() {
    for seed in 0..4 {
        let mut mesh = MeshFixture::new(seed, 3, 12);
        let number = mesh.publish("first");
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
        mesh.run_for(5_000);
        let before = mesh.platform.object_reads;
        let names = mesh.names();
        // The restarted nodes include every seed peer.
        let restarting = names.iter().enumerate().filter(|(index, _)| index % 3 < 2);
        let restarting: Vec<_> = restarting.map(|(_, node)| node.clone()).collect();
        for node in &restarting {
            mesh.kill(node);
        }
        mesh.run_for(5_000);
        for node in &restarting {
            mesh.start(node);
        }
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
        let reads = mesh.platform.object_reads - before;
        assert!(
            reads <= 6,
            "seed {seed}: {reads} of {} nodes",
            restarting.len()
        );
    }
}

#[test]
fn source_of_altered_content_is_avoided_and_a_whole_snapshot_is_requested() {
    let mut rng = StdRng::seed_from_u64(2);
    let now = ClockInstant::from_millis(1_000);
    let mut versions = VersionStore::new("m".parse().unwrap());
    let held = ConfigVersion::from_snapshot(VersionNumber::new(1), snapshot("one")).unwrap();
    versions.offer_snapshot(held.stamp(), held.body().clone());
    let wanted = ConfigVersion::from_snapshot(VersionNumber::new(2), snapshot("two")).unwrap();
    let peers = ["a", "b"].map(|name| FetchSource::Peer(name.parse().unwrap()));
    let mut scheduler = FetchScheduler::default();
    for peer in &peers {
        scheduler.add_source(wanted.stamp(), peer.clone(), now);
    }
    let timeout = TimeBudget::from_millis(400);
    let first = scheduler
        .next_fetch(&versions, now, timeout, &mut rng)
        .unwrap();
    assert_eq!(first.base, Some(held.stamp()));
    assert_eq!(
        scheduler.next_fetch(&versions, now, timeout, &mut rng),
        None
    );
    scheduler.record_altered(&first, now.after(TimeBudget::from_secs(30)));
    let second = scheduler
        .next_fetch(&versions, now, timeout, &mut rng)
        .unwrap();
    assert_ne!(second.source, first.source);
    assert_eq!(second.base, None);
}
