//! Evacuation orders: which state wins, what is replicated, and which servers are selected.

use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, IncarnationNumber, RowRevision, ServiceName, SlotCount, StoreEra},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    placement::{EvacuationOrder, EvacuationTable},
    request::{LoadBalancer, SelectionCriteria},
    rollout::VersionSplit,
    spread::RecordTable,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

const NOW: ClockInstant = ClockInstant::from_millis(1_000_000);
const REFUSAL_LIFETIME: TimeBudget = TimeBudget::from_secs(1);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

fn centre(text: &str) -> DataCentre {
    name(text)
}

fn order(is_ordered: bool, revision: u64) -> EvacuationOrder {
    EvacuationOrder {
        data_centre: name("b"),
        is_ordered,
        revision: RowRevision::new(revision),
    }
}

/// Guards against replicas that disagree for good because they saw the states in another order.
#[test]
fn latest_revision_wins_in_every_order_of_arrival() {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        // The removals include reads at which the row was absent, at any later revision.
        let mut states = vec![order(true, 10), order(false, 12), order(false, 15)];
        let is_ordered_again = rng.random_bool(0.5);
        if is_ordered_again {
            states.push(order(true, 16));
        }
        states.shuffle(&mut rng);
        let mut table = EvacuationTable::default();
        let mut records = RecordTable::default();
        for state in &states {
            table.merge(state.clone(), NOW);
            let entry = state.to_record();
            records.merge(entry.key, &entry.value).expect("is whole");
        }
        assert_eq!(
            table.is_evacuated(&name("b")),
            is_ordered_again,
            "{states:?}"
        );
        let value = records.get(&EvacuationOrder::key(&name("b"))).cloned();
        let recorded = EvacuationOrder::from_record(&bronzelb_kernel::spread::RecordEntry {
            key: EvacuationOrder::key(&name("b")),
            value: value.expect("is recorded"),
        });
        assert_eq!(recorded.expect("is whole").is_ordered, is_ordered_again);
    }
}

/// Guards against a message to every node for each read of the platform.
#[test]
fn repeated_reads_write_no_record() {
    let mut table = EvacuationTable::default();
    table.merge(order(false, 5), NOW);
    assert_eq!(table.record_to_write(&name("b"), None), None);
    table.merge(order(true, 10), NOW);
    assert_eq!(
        table.record_to_write(&name("b"), None),
        Some(&order(true, 10))
    );
    table.merge(order(true, 20), NOW);
    assert_eq!(
        table.record_to_write(&name("b"), Some(&order(true, 10))),
        None
    );
}

/// Guards against a node that read the removal and then believes a peer that did not.
#[test]
fn outdated_record_is_replaced_by_what_the_node_has_read() {
    let mut table = EvacuationTable::default();
    table.merge(order(false, 15), NOW);
    assert!(!table.merge(order(true, 10), NOW));
    assert!(!table.is_evacuated(&name("b")));
    let written = table.record_to_write(&name("b"), Some(&order(true, 10)));
    assert_eq!(written, Some(&order(false, 15)));
}

fn order_in(era: u64, is_ordered: bool, revision: u64) -> EvacuationOrder {
    let revision = RowRevision::in_era(StoreEra::new(era), revision);
    EvacuationOrder {
        data_centre: name("b"),
        is_ordered,
        revision: revision.expect("is small"),
    }
}

/// Guards against an order that is ignored because its revision was assigned before a restore, and
/// against an evacuation that ends, or begins again, because the platform has an older copy.
#[test]
fn restored_platform_changes_an_evacuation_only_if_operators_do() {
    let now = NOW;
    let soon = now.after(TimeBudget::from_secs(9));
    let later = now.after(TimeBudget::from_secs(11));
    // Each case: the states known before, those read in the new era, and whether the data centre
    // is evacuated at once, soon and later.
    let lost_order = vec![order_in(1, true, 12)];
    let lost_removal = vec![order_in(1, true, 5), order_in(1, false, 9)];
    let ended = vec![order_in(1, true, 12), order_in(1, false, 15)];
    let cases = [
        (
            &lost_order,
            vec![order_in(2, false, 7)],
            [true, true, false],
        ),
        (
            &lost_order,
            vec![order_in(2, false, 7), order_in(2, true, 8)],
            [true; 3],
        ),
        (
            &lost_removal,
            vec![order_in(2, true, 5)],
            [false, false, true],
        ),
        (
            &lost_removal,
            vec![order_in(2, true, 5), order_in(2, false, 8)],
            [false; 3],
        ),
        (&ended, vec![order_in(2, true, 8)], [true; 3]),
        (
            &ended,
            vec![order_in(2, false, 7), order_in(2, true, 8)],
            [true; 3],
        ),
        (
            &lost_order,
            vec![order_in(2, true, 8), order_in(2, false, 9)],
            [false; 3],
        ),
        // A response of the earlier era arrives late.
        (
            &ended,
            vec![order_in(2, false, 7), order_in(1, true, 40)],
            [false; 3],
        ),
    ];
    for (before, read, expected) in cases {
        let mut table = EvacuationTable::default();
        for order in before {
            table.merge_read(order.clone(), now);
        }
        for order in &read {
            table.merge_read(order.clone(), now);
        }
        let mut evacuated = Vec::new();
        for instant in [now, soon, later] {
            table.accept_due(instant);
            evacuated.push(table.is_evacuated(&name("b")));
        }
        assert_eq!(evacuated, expected, "{before:?}, then {read:?}");
    }
}

fn member(node: &str, data_centre: &str) -> MemberRow {
    MemberRow {
        node: name(node),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: name(data_centre),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: name(&format!("server-{node}")),
            service: name("tracker"),
            version: name("v1"),
            slots: SlotCount::new(4),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    }
}

/// Load balancer of an entry node in data centre `b`, with two servers in each of three.
struct EntryNode {
    balancer: LoadBalancer,
    rng: SmallRng,
}

impl EntryNode {
    fn new() -> Self {
        let centres = ["a", "b", "c"];
        let nodes =
            centres.map(|centre| [1, 2].map(|number| (format!("{centre}{number}"), centre)));
        let rows: Vec<_> = nodes
            .iter()
            .flatten()
            .map(|(node, centre)| member(node, centre))
            .collect();
        let mut balancer = LoadBalancer::default();
        balancer.sync(NOW, rows.iter(), |_| TimeBudget::ZERO);
        let rng = SmallRng::seed_from_u64(3);
        Self { balancer, rng }
    }

    fn choose(&mut self, now: ClockInstant) -> Option<DataCentre> {
        let service: ServiceName = name("tracker");
        let split = VersionSplit::any();
        let criteria = SelectionCriteria {
            service: &service,
            versions: split.choose(0),
            data_centre: &name("b"),
            spill_order: &[name("a"), name("c")],
            tried: &[],
            latency_target: None,
        };
        let location = self.balancer.select(now, &criteria, &mut self.rng)?;
        Some(location.data_centre)
    }

    fn chosen(&mut self, now: ClockInstant) -> BTreeSet<DataCentre> {
        (0..100).filter_map(|_| self.choose(now)).collect()
    }
}

/// Guards against requests to an evacuated data centre, also where it is the entry node's own and
/// the others are full.
#[test]
fn no_server_in_an_evacuated_data_centre_is_selected() {
    let mut entry = EntryNode::new();
    assert_eq!(entry.choose(NOW), Some(name("b")));
    entry.balancer.set_evacuated([name("b")].into());
    assert_eq!(entry.chosen(NOW), [name("a"), name("c")].into());
    assert_eq!(entry.balancer.slots(&name("tracker")), SlotCount::new(16));
    entry
        .balancer
        .set_evacuated(["a", "b", "c"].map(name).into());
    assert!(entry.chosen(NOW).is_empty());
    assert!(!entry.balancer.has_server(&name("tracker")));
    entry.balancer.set_evacuated(BTreeSet::new());
    assert!(entry.chosen(NOW).contains(&centre("b")));
}

/// Guards against an entry node without the order that spends all attempts of a request on the
/// evacuated data centre, and against one that avoids it for good after the order's end.
#[test]
fn data_centre_that_refused_is_avoided_for_a_short_time() {
    let mut entry = EntryNode::new();
    entry.balancer.record_evacuation_refusal(NOW, &name("b"));
    let end = NOW.after(REFUSAL_LIFETIME);
    assert!(
        !entry
            .chosen(end.before(TimeBudget::from_millis(1)))
            .contains(&centre("b"))
    );
    assert!(entry.chosen(end).contains(&centre("b")));
}
