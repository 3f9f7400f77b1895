//! The soak: its plans, its checks, and a short run.

use bronzelb_emulator::{
    backend::JournalEntry,
    soak::{
        CallKind, NodeOutage, SoakCall, SoakFault, SoakHistory, SoakPlan, SoakRun, check_invariants,
    },
};
use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

const LENGTH: TimeBudget = TimeBudget::from_secs(8);
const SEED: u64 = 1;
/// Seeds that broke a promise once, each with its cause; every one runs again here.
const REGRESSIONS: [(u64, &str); 0] = [];

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + millis)
}

fn call(kind: CallKind, status: Option<u16>, run_state: &str) -> SoakCall {
    SoakCall {
        node: 0,
        kind,
        target: "/orders/1".to_owned(),
        sent_at: at(0),
        ended_at: at(50),
        status,
        run_state: run_state.to_owned(),
        is_matching_response: true,
    }
}

fn run(backend: &str, millis: u64) -> JournalEntry {
    JournalEntry {
        backend: backend.to_owned(),
        version: "v1".to_owned(),
        request: "r".to_owned(),
        key: String::new(),
        method: "POST".to_owned(),
        target: "/orders/1".to_owned(),
        at: at(millis),
    }
}

fn broken(call: SoakCall, runs: &[JournalEntry]) -> usize {
    let evidence = SoakHistory {
        calls: vec![call],
        runs: runs.to_vec(),
        ..SoakHistory::default()
    };
    check_invariants(&evidence).len()
}

#[test]
fn same_seed_draws_the_same_plan_and_every_fault_ends_within_it() {
    for seed in 0..200 {
        let plan = SoakPlan::generate(seed, LENGTH, 3, 2);
        assert_eq!(plan, SoakPlan::generate(seed, LENGTH, 3, 2));
        assert!(!plan.faults.is_empty());
        for span in &plan.faults {
            assert!(span.start < span.end && span.end < LENGTH, "{span:?}");
        }
    }
}

#[test]
fn plans_hold_every_kind_of_fault_and_overlaps() {
    let plans = (0..50).map(|seed| SoakPlan::generate(seed, LENGTH, 3, 2));
    let spans: Vec<_> = plans.flat_map(|plan| plan.faults).collect();
    let is_kind = |kind: fn(SoakFault) -> bool| spans.iter().any(|span| kind(span.fault));
    assert!(is_kind(|fault| matches!(fault, SoakFault::KillNode(_))));
    assert!(is_kind(|fault| matches!(fault, SoakFault::StopNode(_))));
    assert!(is_kind(|fault| matches!(fault, SoakFault::PauseNode(_))));
    assert!(is_kind(|fault| matches!(fault, SoakFault::KillServer(_))));
    assert!(is_kind(|fault| matches!(fault, SoakFault::DrainServer(_))));
    assert!(is_kind(|fault| matches!(fault, SoakFault::PauseServer(_))));
    assert!(is_kind(|fault| matches!(
        fault,
        SoakFault::Partition(_, _, true)
    )));
    assert!(is_kind(|fault| matches!(
        fault,
        SoakFault::Partition(_, _, false)
    )));
    assert!(is_kind(|fault| matches!(
        fault,
        SoakFault::PartitionOneWay(_)
    )));
    assert!(is_kind(|fault| matches!(fault, SoakFault::Delay(_))));
    assert!(is_kind(|fault| fault == SoakFault::CorruptResponses));
    assert!(is_kind(|fault| fault == SoakFault::PlatformUnavailable));
    assert!(is_kind(|fault| fault == SoakFault::PlatformUnresponsive));
    assert!(is_kind(|fault| fault == SoakFault::PlatformLosesResponses));
    assert!(is_kind(|fault| fault == SoakFault::Publish));
    let overlaps = spans.windows(2).filter(|pair| pair[1].start < pair[0].end);
    assert!(overlaps.count() > 50);
}

#[test]
fn each_broken_promise_is_told() {
    let served = call(CallKind::AtMostOnce, Some(200), "ran");
    assert_eq!(broken(served.clone(), &[run("a", 1)]), 0);
    assert_eq!(
        broken(served.clone(), &[run("a", 1), run("b", 2)]),
        1,
        "twice"
    );
    assert_eq!(broken(served.clone(), &[]), 1, "served without a run");
    let read = call(CallKind::Idempotent, Some(200), "ran");
    assert_eq!(
        broken(read, &[run("a", 1), run("b", 2)]),
        0,
        "a read may run twice"
    );
    let foreign = SoakCall {
        is_matching_response: false,
        ..served
    };
    assert_eq!(broken(foreign, &[run("a", 1)]), 1, "another call's answer");
    let refused = call(CallKind::AtMostOnce, Some(503), "not-run");
    assert_eq!(broken(refused.clone(), &[]), 0);
    assert_eq!(broken(refused, &[run("a", 1)]), 1, "refused and run");
    let cut = call(CallKind::AtMostOnce, None, "");
    assert_eq!(broken(cut.clone(), &[]), 0, "was not read");
    assert_eq!(broken(cut, &[run("a", 1)]), 1, "cut off while it ran");
    let held = SoakCall {
        ended_at: at(5_000),
        ..call(CallKind::AtMostOnce, Some(504), "outcome-unknown")
    };
    assert_eq!(broken(held, &[]), 1, "held past its timeout");
}

#[test]
fn calls_are_excused_only_by_what_befell_their_node() {
    let cut = call(CallKind::AtMostOnce, None, "");
    let evidence = |node, is_graceful| SoakHistory {
        calls: vec![cut.clone()],
        runs: vec![run("a", 1)],
        outages: vec![NodeOutage {
            node,
            is_graceful,
            from: at(20),
            until: at(900),
        }],
        ..SoakHistory::default()
    };
    assert!(
        check_invariants(&evidence(0, false)).is_empty(),
        "its node was killed"
    );
    assert_eq!(
        check_invariants(&evidence(0, true)).len(),
        1,
        "its node shut down"
    );
    assert_eq!(
        check_invariants(&evidence(1, false)).len(),
        1,
        "another was killed"
    );
}

#[test]
fn versions_that_go_back_and_servers_that_work_on_are_told() {
    let evidence = SoakHistory {
        versions: vec![("dc1-n1.1.log".to_owned(), vec![1, 3, 2])],
        drained: vec![("a".to_owned(), at(0))],
        runs: vec![run("a", 2_900), run("a", 3_100)],
        ..SoakHistory::default()
    };
    assert_eq!(check_invariants(&evidence).len(), 2);
}

#[actix_web::test]
async fn mesh_keeps_its_promises_under_random_faults() {
    let seeds = REGRESSIONS.iter().map(|(seed, _)| *seed);
    for seed in seeds.chain([SEED]) {
        let run = SoakRun::new(SoakPlan::generate(seed, LENGTH, 3, 1));
        let report = run.run().await.expect("the mesh starts");
        assert!(report.violations.is_empty(), "{report}");
        assert!(report.served > 0, "{report}");
    }
}
