//! State machine of version moves, the records that it writes, and the permanent rollback mark.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RolloutRule,
    error::ErrorKind,
    ids::{AttemptToken, DataCentre, IncarnationNumber, MoveNumber},
    rollout::{
        EvidenceSource, MARK_KIND, MOVE_KIND, MarkCause, MoveChange, MoveEvent, MoveMark,
        MoveRecord, MoveRequest, MoveState, MoveStatement, MoveTable, MoveTransition,
    },
    spread::{RecordKey, RecordTable},
};
use expect_test::expect;
use proptest::{
    prelude::{ProptestConfig, Strategy, any},
    prop_assert, prop_assert_eq, proptest,
    test_runner::RngSeed,
};

const START: ClockInstant = ClockInstant::from_millis(1_000_000);

fn request(from: &str, to: &str) -> MoveRequest {
    MoveRequest {
        service: "tracker".parse().unwrap(),
        from: from.parse().unwrap(),
        to: to.parse().unwrap(),
        by: START.after(TimeBudget::from_secs(600)),
        rule: RolloutRule {
            first_share: "1%".parse().unwrap(),
            min_requests: 20,
            hold: TimeBudget::from_secs(60),
        },
    }
}

fn running() -> MoveRecord {
    MoveRecord::start(None, request("v1", "v2"), START, AttemptToken::new(1)).unwrap()
}

fn mark(number: u64, at: u64, cause: MarkCause) -> MoveMark {
    MoveMark {
        number: MoveNumber::new(number),
        marked_at: ClockInstant::from_millis(at),
        node: Some("n1".parse().unwrap()),
        data_centre: Some("dc1".parse().unwrap()),
        cause,
        route: Some("read".parse().unwrap()),
        figures: "".into(),
    }
}

fn statement() -> MoveStatement {
    MoveStatement {
        decided_at: START,
        figures: "".into(),
        heard: vec!["dc1".parse().unwrap()],
        unheard: Vec::new(),
    }
}

fn change(event: MoveEvent) -> Option<MoveChange> {
    match event {
        MoveEvent::Start => None,
        MoveEvent::Stop => Some(MoveChange::Stop(mark(1, 5, MarkCause::Operator))),
        MoveEvent::Fault => Some(MoveChange::Fault(mark(1, 6, MarkCause::Failures))),
        MoveEvent::Held => Some(MoveChange::Held(statement())),
    }
}

fn in_state(state: MoveState) -> MoveRecord {
    let record = running();
    let (event, token) = match state {
        MoveState::Running => return record,
        MoveState::Done => (MoveEvent::Held, AttemptToken::new(2)),
        MoveState::TakenBack => (MoveEvent::Fault, AttemptToken::new(3)),
    };
    record.apply(change(event).unwrap(), token).1.unwrap()
}

fn table() -> MoveTable {
    let source = EvidenceSource {
        node: "n1".parse().unwrap(),
        incarnation: IncarnationNumber::new(1),
    };
    let data_centre: DataCentre = "dc1".parse().unwrap();
    MoveTable::new(source, data_centre)
}

#[test]
fn transition_table_covers_every_state_and_event() {
    let mut lines = String::new();
    for state in MoveState::ALL {
        for event in MoveEvent::ALL {
            lines += &format!("{state}, {event:?}: {:?}\n", state.transition(event));
        }
    }
    expect![[r#"
        running, Start: Refused
        running, Stop: To(TakenBack)
        running, Fault: To(TakenBack)
        running, Held: To(Done)
        done, Start: Next
        done, Stop: Refused
        done, Fault: Noted
        done, Held: Same
        taken back, Start: Next
        taken back, Stop: Same
        taken back, Fault: Same
        taken back, Held: Refused
    "#]]
    .assert_eq(&lines);
}

#[test]
fn written_records_match_the_transition_table() {
    for state in MoveState::ALL {
        for event in MoveEvent::ALL {
            let record = in_state(state);
            let Some(change) = change(event) else {
                let next = MoveRecord::start(
                    Some(&record),
                    request(record.stable_version().as_str(), "v3"),
                    START,
                    AttemptToken::new(9),
                );
                let refused = state.transition(event) == MoveTransition::Refused;
                assert_eq!(next.is_err(), refused, "{state} {event:?}");
                continue;
            };
            let (transition, written) = record.apply(change, AttemptToken::new(9));
            assert_eq!(transition, state.transition(event));
            match transition {
                MoveTransition::To(next) => {
                    let written = written.unwrap();
                    assert_eq!(written.state, next);
                    assert!(written.replaces(&record), "{state} {event:?}");
                    assert!(!record.replaces(&written), "{state} {event:?}");
                }
                MoveTransition::Noted => {
                    let written = written.unwrap();
                    assert_eq!(written.state, state);
                    assert!(written.mark.is_some());
                    assert!(written.replaces(&record));
                }
                _ => assert_eq!(written, None, "{state} {event:?}"),
            }
        }
    }
}

#[test]
fn final_states_never_change() {
    for state in [MoveState::Done, MoveState::TakenBack] {
        for event in MoveEvent::ALL {
            assert!(
                !matches!(state.transition(event), MoveTransition::To(_)),
                "{state} {event:?}"
            );
        }
    }
}

#[test]
fn fault_after_done_is_noted_once() {
    let done = in_state(MoveState::Done);
    let fault = || MoveChange::Fault(mark(1, 7, MarkCause::Latency));
    let (_, noted) = done.apply(fault(), AttemptToken::new(4));
    let noted = noted.unwrap();
    assert_eq!(noted.statement, done.statement);
    let (transition, written) = noted.apply(fault(), AttemptToken::new(5));
    assert_eq!(transition, MoveTransition::Noted);
    assert_eq!(written, None);
}

#[test]
fn start_refuses_invalid_and_conflicting_requests() {
    let start = |last: Option<&MoveRecord>, request| {
        MoveRecord::start(last, request, START, AttemptToken::new(1)).map_err(|error| error.kind())
    };
    assert_eq!(start(None, request("v1", "v1")), Err(ErrorKind::Invalid));
    let mut late = request("v1", "v2");
    late.by = START;
    assert_eq!(start(None, late), Err(ErrorKind::Invalid));
    let done = in_state(MoveState::Done);
    assert_eq!(
        start(Some(&done), request("v1", "v3")),
        Err(ErrorKind::Conflict)
    );
    let next = start(Some(&done), request("v2", "v3")).unwrap();
    assert_eq!(next.number, MoveNumber::new(2));
    let running = running();
    assert_eq!(
        start(Some(&running), request("v1", "v3")),
        Err(ErrorKind::Conflict)
    );
}

#[test]
fn rows_and_peer_records_round_trip_through_encoding() {
    for state in MoveState::ALL {
        let record = in_state(state);
        assert_eq!(MoveRecord::from_row(&record.to_row()).unwrap(), record);
        assert_eq!(MoveRecord::from_bytes(&record.to_bytes()).unwrap(), record);
    }
    assert_eq!(
        MoveRecord::from_row("{}").unwrap_err().kind(),
        ErrorKind::Invalid
    );
}

#[test]
fn marked_move_gets_no_traffic_regardless_of_later_records() {
    let service = "tracker".parse().unwrap();
    let route = "read".parse().unwrap();
    let mut table = table();
    table.merge_mark(&service, mark(1, 5, MarkCause::Failures));
    table.merge_record(running(), START);
    let share = |table: &MoveTable, secs| {
        let now = START.after(TimeBudget::from_secs(secs));
        table.version_split(&service, &route, now).share().as_ppm()
    };
    assert_eq!(share(&table, 1), 0);
    assert!(!table.merge_mark(&service, mark(1, 9, MarkCause::Latency)));
    assert!(!table.merge_record(running(), START));
    assert_eq!(share(&table, 599), 0);
    assert_eq!(table.mark(&service).unwrap().cause, MarkCause::Failures);
}

#[test]
fn mark_of_an_earlier_move_does_not_affect_the_next_one() {
    let service = "tracker".parse().unwrap();
    let route = "read".parse().unwrap();
    let mut table = table();
    table.merge_record(in_state(MoveState::TakenBack), START);
    let last = table.record(&service).unwrap().clone();
    let next = MoveRecord::start(
        Some(&last),
        request("v1", "v3"),
        START,
        AttemptToken::new(7),
    );
    table.merge_record(next.unwrap(), START);
    table.merge_mark(&service, mark(1, 3, MarkCause::Failures));
    assert!(table.mark(&service).is_none());
    let split = table.version_split(&service, &route, START);
    assert!(split.share().as_ppm() > 0);
}

fn any_mark() -> impl Strategy<Value = MoveMark> {
    (1_u64..4, 0_u64..5, any::<bool>()).prop_map(|(number, at, is_slow)| {
        let cause = if is_slow {
            MarkCause::Latency
        } else {
            MarkCause::Failures
        };
        mark(number, at, cause)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merged_marks_are_independent_of_the_order(a in any_mark(), b in any_mark(), c in any_mark()) {
        let ab = a.clone().merge(b.clone());
        prop_assert_eq!(&ab, &b.clone().merge(a.clone()));
        prop_assert_eq!(ab.clone().merge(c.clone()), a.clone().merge(b.merge(c)));
        prop_assert_eq!(ab.clone().merge(ab.clone()), ab.clone());
        prop_assert!(ab.number >= a.number);
    }

    #[test]
    fn merged_records_are_independent_of_the_order(
        order in proptest::collection::vec(0_usize..4, 4..12),
    ) {
        let records = [
            running(),
            in_state(MoveState::Done),
            in_state(MoveState::TakenBack),
            in_state(MoveState::Done)
                .apply(change(MoveEvent::Fault).unwrap(), AttemptToken::new(8))
                .1
                .unwrap(),
        ];
        let key = RecordKey::new(MOVE_KIND, "tracker");
        let mut forward = RecordTable::default();
        let mut backward = RecordTable::default();
        for index in &order {
            forward.merge(key.clone(), &records[*index].to_bytes()).unwrap();
        }
        for index in order.iter().rev() {
            backward.merge(key.clone(), &records[*index].to_bytes()).unwrap();
        }
        prop_assert_eq!(forward.get(&key), backward.get(&key));
    }
}

#[test]
fn malformed_records_are_refused() {
    let mut table = RecordTable::default();
    for kind in [MOVE_KIND, MARK_KIND] {
        let key = RecordKey::new(kind, "tracker");
        let error = table.merge(key, b"\xff\xff\xff").unwrap_err();
        assert_eq!(error.kind(), ErrorKind::Invalid);
    }
}
