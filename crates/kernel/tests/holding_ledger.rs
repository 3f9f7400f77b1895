//! What clients hold of a VM, and who leaves to make room.

use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::{
    clock::ClockInstant,
    holding::{
        ClosedConnection, ConnectionKind, ConnectionStage, HoldingLedger, HoldingLimits,
        LimitOverrides, RoomDecision, VmLimits,
    },
    ids::{ByteCount, DescriptorCount, HolderId},
};
use expect_test::expect;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const KB: u64 = 1_000;
const SEEDS: u64 = 50;
const STEPS: u64 = 4_000;

fn limits(memory_mb: u64, descriptors: u32) -> HoldingLimits {
    let vm = VmLimits {
        memory: ByteCount::new(memory_mb * 1_000_000),
        descriptors: DescriptorCount::new(descriptors),
    };
    HoldingLimits::new(vm, LimitOverrides::default())
}

fn at(seconds: u64) -> ClockInstant {
    ClockInstant::from_millis(seconds * 1_000)
}

/// Adds a caller's connection that is named by a number.
fn add(ledger: &mut HoldingLedger<u32>, now: ClockInstant, name: u32) -> (HolderId, Vec<u32>) {
    let added = ledger.add_connection(now, ConnectionKind::Caller, name);
    let (id, closed) = added.expect("there is room");
    (id, names(closed))
}

fn names(closed: Vec<ClosedConnection<u32>>) -> Vec<u32> {
    closed.into_iter().map(|closed| closed.handle).collect()
}

#[test]
fn limits_follow_from_the_vm() {
    let describe = |memory_mb, descriptors| {
        let limits = limits(memory_mb, descriptors);
        let count = |kind| limits.connections(kind);
        format!(
            "{memory_mb} MB, {descriptors} descriptors: {} bytes, {} reserved, {} received, \
             {} callers, {} others\n",
            limits.held(),
            limits.small_reserve(),
            limits.received_responses(),
            count(ConnectionKind::Caller),
            count(ConnectionKind::Operator),
        )
    };
    let text = describe(64, 400) + &describe(160, 4_100) + &describe(512, 8_192);
    expect![[r#"
        64 MB, 400 descriptors: 24000000 bytes, 6000000 reserved, 12000000 received, 160 callers, 25 others
        160 MB, 4100 descriptors: 60000000 bytes, 15000000 reserved, 30000000 received, 1640 callers, 64 others
        512 MB, 8192 descriptors: 192000000 bytes, 48000000 reserved, 96000000 received, 3276 callers, 64 others
    "#]].assert_eq(&text);
}

/// Guards against a newcomer with an ordinary request that is turned away for older connections.
#[test]
fn connection_whose_client_is_idle_for_longest_closes_for_a_new_one() {
    let mut ledger = HoldingLedger::new(limits(160, 400));
    let limit = limits(160, 400).connections(ConnectionKind::Caller).get();
    let mut ids = Vec::new();
    for number in 0..limit {
        let (id, closed) = add(&mut ledger, at(u64::from(number)), number);
        assert!(closed.is_empty());
        ids.push(id);
    }
    // The first waits for its server, and the second has just sent another request.
    ledger.set_stage(ids[0], ConnectionStage::AwaitsServer, at(0));
    ledger.set_stage(ids[1], ConnectionStage::AwaitsClient, at(500));
    assert_eq!(add(&mut ledger, at(501), limit).1, [2]);
    assert_eq!(add(&mut ledger, at(502), limit + 1).1, [3]);
}

#[test]
fn connection_is_refused_while_all_others_wait_for_servers() {
    let mut ledger = HoldingLedger::new(limits(160, 400));
    let kind = ConnectionKind::Caller;
    for number in 0..limits(160, 400).connections(kind).get() {
        let (id, _) = add(&mut ledger, at(1), number);
        ledger.set_stage(id, ConnectionStage::AwaitsServer, at(1));
    }
    assert_eq!(ledger.add_connection(at(2), kind, 999), Err(999));
    let other = ledger.add_connection(at(2), ConnectionKind::Operator, 1_000);
    assert!(other.is_ok(), "other listeners have room of their own");
}

/// Guards against small and recent holders that leave before large and old ones.
#[test]
fn client_that_has_held_most_for_longest_leaves_first() {
    let mut ledger = HoldingLedger::new(limits(64, 400));
    let sizes = [8_000 * KB, 6_000 * KB, 20 * KB, 2_500 * KB];
    let mut ids = Vec::new();
    for (number, size) in (0..).zip(sizes) {
        let (id, _) = add(&mut ledger, at(number), number as u32);
        let (fits, closed) = ledger.resize_buffers(at(number), id, ByteCount::new(size));
        assert_eq!((fits, closed.len()), (RoomDecision::Counted, 0), "{number}");
        ids.push(id);
    }
    // The largest waits for a server now, with little beside its request.
    let request = ByteCount::new(sizes[0]);
    ledger.detach(ids[0], request);
    ledger.set_stage(ids[0], ConnectionStage::AwaitsServer, at(5));
    let (id, _) = add(&mut ledger, at(10), 10);
    let (fits, closed) = ledger.resize_buffers(at(10), id, ByteCount::new(2_000 * KB));
    assert_eq!(names(closed), [1]);
    assert_eq!(fits, RoomDecision::Wait, "the other has not closed yet");
    ledger.remove_connection(ids[1]);
    let (fits, closed) = ledger.resize_buffers(at(10), id, ByteCount::new(2_000 * KB));
    assert_eq!((fits, closed.len()), (RoomDecision::Counted, 0));
    ledger.remove_connection(ids[0]);
    ledger.release(request);
    let held = ledger.held().get();
    assert!((4_520 * KB..4_600 * KB).contains(&held), "{held}");
}

#[test]
fn upload_that_finds_nothing_to_displace_leaves_itself() {
    let mut ledger = HoldingLedger::new(limits(64, 400));
    let body = ByteCount::new(17_000 * KB);
    let (fits, closed) = ledger.grow(at(1), body, body);
    assert_eq!((fits, closed.len()), (RoomDecision::Counted, 0));
    let (id, _) = add(&mut ledger, at(2), 7);
    let (fits, closed) = ledger.resize_buffers(at(2), id, ByteCount::new(4_000 * KB));
    assert_eq!(fits, RoomDecision::Refused);
    assert_eq!(names(closed), [7]);
    let (small, _) = add(&mut ledger, at(3), 8);
    let (fits, _) = ledger.resize_buffers(at(3), small, ByteCount::new(20 * KB));
    assert_eq!(
        fits,
        RoomDecision::Counted,
        "an ordinary request has a reserve"
    );
}

#[test]
fn servers_that_send_without_end_displace_no_caller() {
    let mut ledger = HoldingLedger::new(limits(64, 400));
    let (id, _) = add(&mut ledger, at(1), 1);
    let (fits, _) = ledger.resize_buffers(at(1), id, ByteCount::new(5_000 * KB));
    assert_eq!(fits, RoomDecision::Counted);
    let step = ByteCount::new(1_000 * KB);
    let mut received = 0;
    loop {
        received += step.get();
        let (fits, closed) = ledger.grow_received(at(60), ByteCount::new(received), step);
        assert!(closed.is_empty(), "after {received} bytes");
        if fits == RoomDecision::Refused {
            break;
        }
    }
    assert!(received <= limits(64, 400).received_responses().get() + step.get());
}

/// A connection of the simulated crowd, and what is counted for it outside of its buffers.
struct CrowdMember {
    id: HolderId,
    unread: Vec<ByteCount>,
    requests: Vec<ByteCount>,
}

impl CrowdMember {
    fn leave(self, ledger: &mut HoldingLedger<u32>) {
        for size in self.unread {
            ledger.remove_unread(self.id, size);
            ledger.release(size);
        }
        for size in self.requests {
            ledger.release(size);
        }
        ledger.remove_connection(self.id);
    }
}

/// Guards against an account that drifts: after any history nothing is left, and at no time more is
/// held than the limit and what is on its way out.
#[test]
fn account_is_exact_after_any_history() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = HoldingLedger::new(limits(64, 400));
        let limit = ledger.limits().held().get();
        let mut crowd: BTreeMap<u32, CrowdMember> = BTreeMap::new();
        let mut leaving = BTreeSet::new();
        for step in 0..STEPS {
            let now = ClockInstant::from_millis(step * 20);
            let name = rng.random_range(0..300);
            let mut closed = Vec::new();
            if let Some(member) = crowd.get_mut(&name) {
                let size = ByteCount::new(rng.random_range(0..2_000_000));
                match rng.random_range(0..6) {
                    0 => closed = ledger.resize_buffers(now, member.id, size).1,
                    1 => {
                        let (fits, others) = ledger.grow(now, size, size);
                        closed = others;
                        if fits == RoomDecision::Counted {
                            ledger.add_unread(member.id, size);
                            member.unread.push(size);
                        }
                    }
                    2 => {
                        if let Some(size) = member.unread.pop() {
                            ledger.remove_unread(member.id, size);
                            ledger.release(size);
                        }
                    }
                    3 => {
                        let small = ByteCount::new(size.get() / 1_000);
                        ledger.detach(member.id, small);
                        member.requests.push(small);
                    }
                    4 => ledger.set_stage(member.id, ConnectionStage::AwaitsServer, now),
                    _ => ledger.set_stage(member.id, ConnectionStage::AwaitsClient, now),
                }
            } else if let Ok((id, others)) =
                ledger.add_connection(now, ConnectionKind::Caller, name)
            {
                closed = others;
                let (unread, requests) = (Vec::new(), Vec::new());
                crowd.insert(
                    name,
                    CrowdMember {
                        id,
                        unread,
                        requests,
                    },
                );
            }
            leaving.extend(names(closed));
            // Tasks of closed connections end a little later.
            if rng.random_bool(0.5)
                && let Some(name) = leaving.pop_first()
                && let Some(member) = crowd.remove(&name)
            {
                member.leave(&mut ledger);
            }
            let staying = crowd.len() - leaving.len();
            let callers = ledger.limits().connections(ConnectionKind::Caller).get();
            assert!(staying <= callers as usize, "seed {seed}, step {step}");
        }
        while let Some(name) = leaving.pop_first() {
            let member = crowd.remove(&name).expect("leaves once");
            member.leave(&mut ledger);
        }
        let held = ledger.held().get();
        // Requests that run are refused by their size, not by the account.
        assert!(held <= limit + STEPS * 2_000, "seed {seed}: {held}");
        for (_, member) in crowd {
            member.leave(&mut ledger);
        }
        assert_eq!(ledger.held(), ByteCount::new(0), "seed {seed}");
        assert_eq!(ledger.open(ConnectionKind::Caller), 0, "seed {seed}");
    }
}
