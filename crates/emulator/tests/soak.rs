//! Soak test: fault plans, invariant checks and a short run.

use bronzelb_emulator::{
    backend::JournalEntry,
    soak::{
        CallKind, NodeOutage, SoakCall, SoakFault, SoakHistory, SoakPlan, SoakRun, StatedPeriod,
        check_invariants,
    },
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::RequestRate,
};

const DURATION: TimeBudget = TimeBudget::from_secs(8);
const SEED: u64 = 1;
/// Seeds that once violated an invariant, each with its cause; the soak run below replays them all.
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
        has_matching_response: true,
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

fn violation_count(call: SoakCall, runs: &[JournalEntry]) -> usize {
    let history = SoakHistory {
        calls: vec![call],
        runs: runs.to_vec(),
        ..SoakHistory::default()
    };
    check_invariants(&history).len()
}

#[test]
fn same_seed_yields_the_same_plan_and_every_fault_ends_within_it() {
    for seed in 0..200 {
        let plan = SoakPlan::generate(seed, DURATION, 3, 2);
        assert_eq!(plan, SoakPlan::generate(seed, DURATION, 3, 2));
        assert!(!plan.faults.is_empty());
        for scheduled in &plan.faults {
            assert!(
                scheduled.start < scheduled.end && scheduled.end < DURATION,
                "{scheduled:?}"
            );
        }
    }
}

#[test]
fn plans_contain_every_kind_of_fault_and_overlaps() {
    let plans = (0..50).map(|seed| SoakPlan::generate(seed, DURATION, 3, 2));
    let faults: Vec<_> = plans.flat_map(|plan| plan.faults).collect();
    let is_kind =
        |kind: fn(SoakFault) -> bool| faults.iter().any(|scheduled| kind(scheduled.fault));
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
    assert!(is_kind(|fault| matches!(fault, SoakFault::LimitServers(_))));
    assert!(is_kind(|fault| fault == SoakFault::Publish));
    let overlaps = faults.windows(2).filter(|pair| pair[1].start < pair[0].end);
    assert!(overlaps.count() > 50);
}

#[test]
fn each_violated_invariant_is_reported() {
    let served = call(CallKind::AtMostOnce, Some(200), "ran");
    assert_eq!(violation_count(served.clone(), &[run("a", 1)]), 0);
    assert_eq!(
        violation_count(served.clone(), &[run("a", 1), run("b", 2)]),
        1,
        "at-most-once call ran twice"
    );
    assert_eq!(
        violation_count(served.clone(), &[]),
        1,
        "served without a run"
    );
    let read = call(CallKind::Idempotent, Some(200), "ran");
    assert_eq!(
        violation_count(read, &[run("a", 1), run("b", 2)]),
        0,
        "an idempotent call may run twice"
    );
    let foreign = SoakCall {
        has_matching_response: false,
        ..served
    };
    assert_eq!(
        violation_count(foreign, &[run("a", 1)]),
        1,
        "response to another call"
    );
    let refused = call(CallKind::AtMostOnce, Some(503), "not-run");
    assert_eq!(violation_count(refused.clone(), &[]), 0);
    assert_eq!(
        violation_count(refused, &[run("a", 1)]),
        1,
        "reported as not run but run"
    );
    let cut = call(CallKind::AtMostOnce, None, "");
    assert_eq!(
        violation_count(cut.clone(), &[]),
        0,
        "request was never received"
    );
    assert_eq!(
        violation_count(cut, &[run("a", 1)]),
        1,
        "connection broke during the run"
    );
    let slow = SoakCall {
        ended_at: at(5_000),
        ..call(CallKind::AtMostOnce, Some(504), "outcome-unknown")
    };
    assert_eq!(
        violation_count(slow, &[]),
        1,
        "response after the route timeout"
    );
}

#[test]
fn only_outages_of_the_called_node_excuse_a_failed_call() {
    let cut = call(CallKind::AtMostOnce, None, "");
    let history = |node, is_graceful| SoakHistory {
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
        check_invariants(&history(0, false)).is_empty(),
        "the called node was killed"
    );
    assert_eq!(
        check_invariants(&history(0, true)).len(),
        1,
        "the called node shut down gracefully"
    );
    assert_eq!(
        check_invariants(&history(1, false)).len(),
        1,
        "another node was killed"
    );
}

#[test]
fn version_rollbacks_and_requests_after_draining_are_reported() {
    let history = SoakHistory {
        versions: vec![("dc1-n1.1.log".to_owned(), vec![1, 3, 2])],
        drained: vec![("a".to_owned(), at(0))],
        runs: vec![run("a", 2_900), run("a", 3_100)],
        ..SoakHistory::default()
    };
    assert_eq!(check_invariants(&history).len(), 2);
}

#[test]
fn exceeded_limit_is_reported_unless_the_entry_node_had_an_outage() {
    let mut history = SoakHistory {
        limits: vec![StatedPeriod {
            server: "a".to_owned(),
            limit: RequestRate::from_millis(1_000),
            from: at(0),
            until: at(9_000),
        }],
        calls: vec![call(CallKind::Idempotent, Some(200), "ran")],
        runs: (0..12).map(|number| run("a", 3_100 + number)).collect(),
        ..SoakHistory::default()
    };
    assert_eq!(
        check_invariants(&history).len(),
        1,
        "11 requests are allowed"
    );
    history.outages = vec![NodeOutage {
        node: 0,
        is_graceful: false,
        from: at(1_000),
        until: at(2_000),
    }];
    assert!(
        check_invariants(&history).is_empty(),
        "the entry node restarted"
    );
    history.outages.clear();
    history.runs.pop();
    assert!(
        check_invariants(&history).is_empty(),
        "as many as are allowed"
    );
}

#[actix_web::test]
async fn random_faults_violate_no_invariant() {
    let seeds = REGRESSIONS.iter().map(|(seed, _)| *seed);
    for seed in seeds.chain([SEED]) {
        let run = SoakRun::new(SoakPlan::generate(seed, DURATION, 3, 1));
        let report = run.run().await.expect("the mesh starts");
        assert!(report.violations.is_empty(), "{report}");
        assert!(report.served > 0, "{report}");
    }
}
