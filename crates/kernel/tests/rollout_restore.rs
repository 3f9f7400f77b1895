//! Orders of version moves that are read after the platform has returned from an older copy.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ServiceSpec,
    ids::{AttemptToken, BuildVersion, MoveNumber, RowRevision, StoreEra},
    plugin::MoveOrder,
    rollout::{MOVE_KIND, MoveRecord, MoveState, OrderHistory, OrderMatch},
    spread::{RecordKey, RecordTable},
};
use proptest::{
    prelude::{ProptestConfig, Strategy},
    prop_assert_eq, proptest,
    sample::subsequence,
    test_runner::RngSeed,
};

const START: ClockInstant = ClockInstant::from_millis(1_000_000);
const SPAN: TimeBudget = TimeBudget::from_secs(16);

fn version(name: &str) -> BuildVersion {
    name.parse().expect("is a version")
}

fn number(era: u64, number: u64) -> MoveNumber {
    let revision = RowRevision::in_era(StoreEra::new(era), number);
    MoveNumber::ordered_at(revision.expect("is small"))
}

fn order(era: u64, revision: u64, target: &str) -> MoveOrder {
    MoveOrder {
        service: "tracker".parse().expect("is a name"),
        target: version(target),
        timeout: SPAN,
        number: number(era, revision),
    }
}

fn record(order: &MoveOrder, state: MoveState, last: Option<&MoveRecord>) -> MoveRecord {
    MoveRecord {
        service: order.service.clone(),
        number: order.number,
        from: order.target.clone(),
        to: order.target.clone(),
        start: START,
        by: START.after(SPAN),
        rule: ServiceSpec::with_defaults(110).rollout,
        state,
        attempt: AttemptToken::new(1),
        statement: None,
        mark: None,
        barred: last.map_or_else(Vec::new, |last| last.barred_after(&order.target)),
        earlier: last.map_or_else(Vec::new, MoveRecord::earlier_after),
    }
}

/// Classifies orders in the order in which a reader sees them; new ones become the known move.
fn read(known: &mut MoveRecord, orders: &[MoveOrder]) -> Vec<OrderMatch> {
    let mut history = OrderHistory::default();
    let classify = |order: &MoveOrder| {
        let order_match = history.classify(order, Some(known));
        history.record(order);
        if order_match == OrderMatch::New {
            *known = record(order, MoveState::Running, Some(known));
        }
        order_match
    };
    orders.iter().map(classify).collect()
}

/// Guards against an order that is ignored because its revision was assigned before the restore.
#[test]
fn order_of_another_version_starts_a_move_at_a_revision_that_was_seen_before() {
    let last = record(&order(1, 12, "v2"), MoveState::TakenBack, None);
    for revision in [1, 11, 12, 13] {
        let mut known = last.clone();
        let matches = read(&mut known, &[order(2, revision, "v3")]);
        assert_eq!(matches, [OrderMatch::New], "revision {revision}");
        assert!(known.replaces(&last) && !last.replaces(&known));
    }
}

/// Guards against a version that was taken back and is moved to again because operators wrote the
/// lost order once more, or because the copy has an order that later ones had replaced.
#[test]
fn orders_that_were_answered_before_the_restore_start_no_move() {
    use OrderMatch::{Known, New, Repeated};
    let first = record(&order(1, 5, "v2"), MoveState::Done, None);
    let last = record(&order(1, 12, "v3"), MoveState::TakenBack, Some(&first));
    let cases = [
        (
            vec![order(2, 5, "v2"), order(2, 9, "v3")],
            vec![Repeated, Repeated],
        ),
        (
            vec![order(2, 8, "v2"), order(2, 9, "v3")],
            vec![Repeated, Repeated],
        ),
        (
            vec![order(2, 20, "v3"), order(2, 20, "v3")],
            vec![Repeated, Known],
        ),
        // A second order of the same version in an era is meant.
        (
            vec![order(2, 9, "v3"), order(2, 30, "v3")],
            vec![Repeated, New],
        ),
        (
            vec![order(2, 9, "v3"), order(2, 30, "v2")],
            vec![Repeated, New],
        ),
        // Another restore loses the order again.
        (
            vec![order(2, 9, "v3"), order(3, 8, "v3")],
            vec![Repeated, Repeated],
        ),
        (
            vec![order(2, 9, "v4"), order(3, 8, "v3")],
            vec![New, Repeated],
        ),
        // A response of the earlier era arrives late.
        (
            vec![order(2, 9, "v3"), order(1, 12, "v3")],
            vec![Repeated, Known],
        ),
    ];
    for (orders, expected) in cases {
        assert_eq!(read(&mut last.clone(), &orders), expected, "{orders:?}");
    }
}

/// Guards against nodes that disagree for good on which record of a lost and repeated order counts.
#[test]
fn record_of_a_node_that_did_not_know_the_answered_order_loses() {
    let first = record(&order(1, 5, "v2"), MoveState::Done, None);
    let answered = record(&order(1, 12, "v3"), MoveState::TakenBack, Some(&first));
    for unaware in [order(2, 9, "v3"), order(2, 5, "v2"), order(3, 1, "v3")] {
        let unaware = record(&unaware, MoveState::Running, None);
        assert!(answered.replaces(&unaware), "{unaware:?}");
        assert!(!unaware.replaces(&answered), "{unaware:?}");
    }
    let repeated = record(&order(2, 30, "v3"), MoveState::Running, Some(&answered));
    assert!(repeated.replaces(&answered) && !answered.replaces(&repeated));
}

/// Guards against records of nodes of an earlier build that cannot be read.
#[test]
fn record_without_earlier_targets_is_read() {
    let written = record(&order(0, 12, "v2"), MoveState::Running, None);
    let mut bytes = written.to_bytes();
    assert_eq!(bytes.pop(), Some(0), "the list of earlier targets is last");
    assert_eq!(MoveRecord::from_bytes(&bytes).expect("is read"), written);
    assert!(MoveRecord::from_bytes(&bytes[..bytes.len() - 1]).is_err());
}

/// Records that the nodes of a mesh may hold after two restores, by nodes that know all, some or
/// none of the earlier moves.
fn record_set() -> impl Strategy<Value = Vec<MoveRecord>> {
    let first = record(&order(1, 5, "v2"), MoveState::Done, None);
    let second = record(&order(1, 12, "v3"), MoveState::TakenBack, Some(&first));
    let third = record(&order(2, 9, "v4"), MoveState::Running, Some(&second));
    let fourth = record(&order(2, 30, "v3"), MoveState::Running, Some(&third));
    let unaware = [order(2, 5, "v2"), order(2, 8, "v3"), order(3, 3, "v3")];
    let unaware = unaware.map(|order| record(&order, MoveState::Running, None));
    let all = [vec![first, second, third, fourth], unaware.to_vec()].concat();
    let size = 1..=all.len();
    subsequence(all, size).prop_shuffle()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against replicas that differ for good because records arrived in another order.
    #[test]
    fn records_of_two_eras_merge_to_the_same_one_in_every_order(
        records in record_set(),
        other_order in record_set(),
    ) {
        let merge = |records: &[MoveRecord]| {
            let mut table = RecordTable::default();
            let key = RecordKey::new(MOVE_KIND, "tracker");
            for record in records {
                table.merge(key.clone(), &record.to_bytes()).expect("is whole");
            }
            table.get(&key).cloned()
        };
        let all = [records.clone(), other_order.clone()].concat();
        let reversed = [other_order, records].concat();
        prop_assert_eq!(merge(&all), merge(&reversed));
    }
}
