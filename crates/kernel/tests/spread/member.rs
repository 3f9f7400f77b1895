//! Tests for membership, the visibility of backend servers, and records.

use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::{ByteCount, NodeName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberState, MemberTable, StatedLimit},
    plugin::RecordKind,
    spread::{GossipEvent, RecordKey, TransferLimiter},
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

use crate::fixture::MeshFixture;

/// Limit for "a few seconds", within which a leaving server must stop receiving requests.
const FEW_SECONDS_MS: u64 = 5_000;
/// Limit within which a record must reach its own data centre.
const LOCAL_RECORD_MS: u64 = 1_000;
const SETTLE_MS: u64 = 20_000;

inventory::submit! {
    RecordKind { name: "largest", max_bytes: 8, merge: merge_largest, expires_at: None }
}

fn merge_largest(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    if received.is_empty() {
        return Err(MeshError::invalid("an empty record"));
    }
    Ok(held.unwrap_or_default().max(received).to_vec())
}

fn backend(name: &str) -> BackendRow {
    BackendRow {
        incarnation: BackendIncarnation::default(),
        limit: StatedLimit::Unknown,
        name: name.parse().unwrap(),
        service: "tracker".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(12),
        state: BackendState::Serving,
        is_reported_healthy: true,
        cold_until: None,
        times: BTreeMap::new(),
    }
}

fn settled_mesh(seed: u64, per_centre: u8) -> MeshFixture {
    let mut mesh = MeshFixture::new(seed, 3, per_centre);
    let number = mesh.publish("first");
    mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
    let all = mesh.nodes.len();
    mesh.run_until(SETTLE_MS, |mesh| {
        mesh.nodes
            .values()
            .all(|node| serving_count(node.members()) == all)
    });
    mesh
}

fn serving_count(table: &MemberTable) -> usize {
    let rows = table.live();
    rows.filter(|row| row.state == MemberState::Serving).count()
}

/// Returns, for every other running node, whether it would send requests to `owner`'s servers.
fn visibility(mesh: &MeshFixture, owner: &NodeName) -> Vec<bool> {
    let others = mesh.nodes.iter();
    others
        .filter(|(node, _)| *node != owner && !mesh.paused.contains(*node))
        .map(|(_, node)| {
            let mut live = node.members().live();
            live.any(|row| row.node == *owner && !row.backends.is_empty())
        })
        .collect()
}

fn visible_everywhere(mesh: &MeshFixture, owner: &NodeName) -> bool {
    visibility(mesh, owner)
        .into_iter()
        .all(|is_visible| is_visible)
}

fn visible_nowhere(mesh: &MeshFixture, owner: &NodeName) -> bool {
    visibility(mesh, owner)
        .into_iter()
        .all(|is_visible| !is_visible)
}

#[test]
fn server_that_joins_and_leaves_is_known_everywhere_within_seconds() {
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 4);
        let owner = mesh.names()[5].clone();
        mesh.apply(&owner, |node| {
            node.set_backends(vec![backend("b1")]);
        });
        mesh.run_until(FEW_SECONDS_MS, |mesh| visible_everywhere(mesh, &owner));
        mesh.apply(&owner, |node| node.set_backends(Vec::new()));
        mesh.run_until(FEW_SECONDS_MS, |mesh| visible_nowhere(mesh, &owner));
    }
}

#[test]
fn server_of_a_crashed_node_gets_no_requests_after_a_few_seconds() {
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 8);
        let owner = mesh.names()[5].clone();
        mesh.apply(&owner, |node| {
            node.set_backends(vec![backend("b1")]);
        });
        mesh.run_until(FEW_SECONDS_MS, |mesh| visible_everywhere(mesh, &owner));
        mesh.kill(&owner);
        mesh.run_until(FEW_SECONDS_MS, |mesh| visible_nowhere(mesh, &owner));
    }
}

#[test]
fn paused_node_is_excluded_and_resumes_without_its_expired_state() {
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 4);
        let owner = mesh.names()[5].clone();
        mesh.apply(&owner, |node| {
            node.set_backends(vec![backend("b1")]);
        });
        mesh.run_until(FEW_SECONDS_MS, |mesh| visible_everywhere(mesh, &owner));
        let before = mesh.nodes[&owner].own().incarnation;
        mesh.paused.insert(owner.clone());
        mesh.run_until(FEW_SECONDS_MS, |mesh| visible_nowhere(mesh, &owner));
        mesh.run_for(10_000);
        assert!(
            !mesh.nodes[&owner].is_ready(mesh.now),
            "its lease has expired"
        );
        mesh.events.clear();
        mesh.paused.clear();
        mesh.platform.response_ms = 1_000;
        mesh.run_until(SETTLE_MS, |mesh| has_resumed(mesh, &owner));
        assert!(
            !mesh.nodes[&owner].may_act(mesh.now),
            "it has not refreshed its state"
        );
        let own = mesh.nodes[&owner].own();
        assert!(own.backends.is_empty(), "seed {seed}");
        assert!(own.incarnation > before, "seed {seed}");
        mesh.run_until(SETTLE_MS, |mesh| {
            mesh.nodes
                .values()
                .all(|node| serving_count(node.members()) == 12)
        });
    }
}

fn has_resumed(mesh: &MeshFixture, owner: &NodeName) -> bool {
    let mut events = mesh.events.iter();
    events.any(|(node, event)| node == owner && matches!(event, GossipEvent::Resumed))
}

#[test]
fn node_that_drains_or_leaves_is_known_everywhere_within_seconds() {
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 4);
        let leaving = mesh.names()[2].clone();
        for state in [MemberState::Draining, MemberState::Gone] {
            mesh.apply(&leaving, |node| match state {
                MemberState::Draining => node.drain(),
                _ => node.leave(),
            });
            mesh.run_until(FEW_SECONDS_MS, |mesh| {
                let mut nodes = mesh.nodes.values();
                nodes.all(|node| node.members().get(&leaving).unwrap().state == state)
            });
        }
    }
}

#[test]
fn lost_messages_alone_remove_no_member_for_long() {
    for seed in 0..6 {
        let mut mesh = settled_mesh(seed, 4);
        mesh.loss_percent = 15;
        mesh.duplicate_percent = 15;
        mesh.run_for(60_000);
        mesh.loss_percent = 0;
        mesh.run_until(FEW_SECONDS_MS, |mesh| {
            mesh.nodes
                .values()
                .all(|node| serving_count(node.members()) == 12)
        });
    }
}

#[test]
fn late_message_does_not_resurrect_a_gone_member() {
    let mut mesh = settled_mesh(3, 4);
    let dead = mesh.names()[2].clone();
    let observer = mesh.names()[0].clone();
    let row = mesh.nodes[&observer].members().get(&dead).unwrap().clone();
    mesh.kill(&dead);
    mesh.run_for(10_000);
    let mut table = mesh.nodes[&observer].members().clone();
    assert_eq!(table.get(&dead).unwrap().state, MemberState::Gone);
    assert!(!table.merge(row));
    assert_eq!(table.get(&dead).unwrap().state, MemberState::Gone);
}

#[test]
fn rows_merged_in_any_order_give_the_same_table() {
    let mesh = settled_mesh(5, 4);
    let names = mesh.names();
    let mut rows: Vec<_> = mesh.nodes[&names[0]].members().iter().cloned().collect();
    for (index, row) in rows.clone().into_iter().enumerate() {
        let mut newer = row.clone();
        newer.revision += index as u64 % 3;
        newer.state = MemberState::Draining;
        rows.extend([row, newer]);
    }
    let mut digests = Vec::new();
    for seed in 0..100 {
        rows.shuffle(&mut StdRng::seed_from_u64(seed));
        let mut table = MemberTable::default();
        for row in &rows {
            table.merge(row.clone());
        }
        digests.push(table.digest().clone());
    }
    digests.dedup();
    assert_eq!(digests.len(), 1);
}

#[test]
fn record_reaches_its_data_centre_in_a_second_and_all_in_five() {
    let key = RecordKey::new("largest", "mark");
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 8);
        let origin = mesh.names()[3].clone();
        mesh.apply(&origin, |node| {
            node.put_record(key.clone(), "7".into()).unwrap();
        });
        let holds = |mesh: &MeshFixture, node: &NodeName| {
            mesh.nodes[node]
                .records()
                .get(&key)
                .is_some_and(|value| **value == *b"7")
        };
        let centre = mesh.centre_of(&origin);
        mesh.run_until(LOCAL_RECORD_MS, |mesh| {
            let names = mesh.names().into_iter();
            let mut local = names.filter(|node| mesh.centre_of(node) == centre);
            local.all(|node| holds(mesh, &node))
        });
        mesh.run_until(FEW_SECONDS_MS - LOCAL_RECORD_MS, |mesh| {
            mesh.names().iter().all(|node| holds(mesh, node))
        });
    }
}

#[test]
fn records_written_on_both_sides_of_a_partition_merge_afterwards() {
    let key = RecordKey::new("largest", "mark");
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 4);
        mesh.partitioned.insert("dc1".parse().unwrap());
        mesh.run_for(8_000);
        let (near, far) = (mesh.names()[0].clone(), mesh.names()[11].clone());
        for (node, value) in [(near, "3"), (far, "8")] {
            mesh.apply(&node, |node| {
                node.put_record(key.clone(), value.into()).unwrap();
            });
        }
        mesh.run_for(8_000);
        mesh.partitioned.clear();
        mesh.run_until(FEW_SECONDS_MS, |mesh| {
            let mut nodes = mesh.nodes.values();
            nodes.all(|node| {
                node.records()
                    .get(&key)
                    .is_some_and(|value| **value == *b"8")
            })
        });
    }
}

#[test]
fn transfers_over_the_limit_get_a_retry_delay() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut limiter = TransferLimiter::new(2);
    let now = ClockInstant::from_millis(1_000);
    let size = ByteCount::new(100_000);
    assert_eq!(limiter.try_acquire(size, now, &mut rng), Ok(()));
    assert_eq!(limiter.try_acquire(size, now, &mut rng), Ok(()));
    let wait = limiter
        .try_acquire(size, now, &mut rng)
        .expect_err("both slots are taken");
    assert!(wait >= TimeBudget::from_millis(100), "{wait}");
    assert_eq!(limiter.try_acquire(size, now.after(wait), &mut rng), Ok(()));
}

#[test]
fn nodes_without_seed_peers_find_each_other_by_rarely_renewed_lease_rows() {
    for seed in 0..10 {
        let mut mesh = MeshFixture::new(seed, 3, 4);
        mesh.has_seeds = false;
        for node in mesh.names() {
            mesh.start(&node);
        }
        mesh.publish("first");
        mesh.run_until(2 * SETTLE_MS, |mesh| {
            mesh.nodes
                .values()
                .all(|node| serving_count(node.members()) == 12)
        });
        let before = mesh.platform.lease_row_writes;
        mesh.run_for(120_000);
        let writes = mesh.platform.lease_row_writes - before;
        // For 990 nodes, this bound means at most 22 writes per second; the platform allows several
        // hundred.
        assert!(writes <= 12 * 120 / 45 + 12, "seed {seed}: {writes}");
    }
}

#[test]
fn mesh_restarted_as_a_whole_knows_every_server_within_three_seconds() {
    for seed in 0..10 {
        let mut mesh = settled_mesh(seed, 4);
        // Every node has written its lease row, the only way in which restarted nodes find peers.
        mesh.run_for(10_000);
        mesh.has_seeds = false;
        let names = mesh.names();
        for node in &names {
            mesh.kill(node);
        }
        for node in &names {
            mesh.start(node);
            let server = format!("server-{node}");
            mesh.apply(node, |gossip_node| {
                gossip_node.set_backends(vec![backend(&server)]);
            });
        }
        mesh.run_until(3_000, |mesh| {
            names.iter().all(|owner| visible_everywhere(mesh, owner))
        });
    }
}
