//! The curve, the sequential test, and the judge of a move on merged evidence.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{RolloutRule, ShareRatio},
    ids::{AttemptToken, BackendName, DataCentre, IncarnationNumber, RouteName, SlotCount},
    rollout::{
        EventBin, EventCount, EvidenceSource, FULL_SHARE, MarkCause, MoveJudge, MoveOutlook,
        MoveRecord, MoveRequest, MoveTable, MoveView, NodeEvidence, OutcomeClass, OutcomeReport,
        RouteTally, SequentialTest, ShareCurve, SharePlan, VersionBreaker, VersionCapacity,
        VersionSide,
    },
};
use proptest::{
    prelude::ProptestConfig, prop_assert, prop_assert_eq, proptest, test_runner::RngSeed,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const START: ClockInstant = ClockInstant::from_millis(1_000_000);

fn record(span_secs: u64, hold_secs: u64) -> MoveRecord {
    let wish = MoveRequest {
        service: "tracker".parse().unwrap(),
        from: "v1".parse().unwrap(),
        to: "v2".parse().unwrap(),
        by: START.after(TimeBudget::from_secs(span_secs)),
        rule: RolloutRule {
            first_share: "1%".parse().unwrap(),
            min_requests: 20,
            hold: TimeBudget::from_secs(hold_secs),
        },
    };
    MoveRecord::start(None, wish, START, AttemptToken::new(1)).unwrap()
}

fn at(secs: u64) -> ClockInstant {
    START.after(TimeBudget::from_secs(secs))
}

fn route() -> RouteName {
    "read".parse().unwrap()
}

fn evidence(node: &str, incarnation: u64) -> NodeEvidence {
    let slot = EvidenceSource {
        node: node.parse().unwrap(),
        incarnation: IncarnationNumber::new(incarnation),
    };
    let number = record(600, 60).number;
    NodeEvidence::new(slot, "dc1".parse().unwrap(), number, START)
}

fn outcome(backend: &str, class: OutcomeClass, millis: u64) -> OutcomeReport {
    OutcomeReport {
        service: "tracker".parse().unwrap(),
        route: route(),
        version: "v2".parse().unwrap(),
        backend: backend.parse().unwrap(),
        class,
        latency: TimeBudget::from_millis(millis),
        is_warming: false,
    }
}

/// Requests in one interval of half a second, and how each version does.
struct Traffic {
    requests: u32,
    old_failures: f64,
    new_failures: f64,
    new_slower: f64,
    new_servers: &'static [&'static str],
    sick_server: Option<&'static str>,
}

const GOOD: Traffic = Traffic {
    requests: 60,
    old_failures: 0.001,
    new_failures: 0.001,
    new_slower: 1.0,
    new_servers: &["n1", "n2", "n3"],
    sick_server: None,
};

/// Runs a judge with one node for `secs` and returns when it found a fault.
fn run(traffic: &Traffic, judge: &mut MoveJudge, seed: u64, secs: u64) -> Option<MarkCause> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut own = evidence("n1", 1);
    let plan = SharePlan::new(record(600, 60));
    for half in 1..=secs * 2 {
        let now = START.after(TimeBudget::from_millis(half * 500));
        let share = plan.share(judge.view(), &route(), now).as_f64();
        for _ in 0..traffic.requests {
            let is_new = rng.random::<f64>() < share;
            let (side, report) = draw(traffic, is_new, &mut rng);
            own.record(side, &report, now);
        }
        own.taken_at = now;
        judge.merge(&own, now);
        if let Some((_, fault)) = judge.tick(now) {
            return Some(fault.cause);
        }
    }
    None
}

fn draw(traffic: &Traffic, is_new: bool, rng: &mut StdRng) -> (VersionSide, OutcomeReport) {
    let server = match is_new {
        true => traffic.new_servers[rng.random_range(0..traffic.new_servers.len())],
        false => "o1",
    };
    let failures = match is_new {
        true if traffic.sick_server == Some(server) => 0.5,
        true => traffic.new_failures,
        false => traffic.old_failures,
    };
    let class = match rng.random::<f64>() < failures {
        true => OutcomeClass::Failed,
        false => OutcomeClass::Served,
    };
    let factor = if is_new { traffic.new_slower } else { 1.0 };
    let millis = 20.0 * (1.2 * rng.random::<f64>()).exp() * factor;
    let side = if is_new {
        VersionSide::New
    } else {
        VersionSide::Old
    };
    (side, outcome(server, class, millis as u64))
}

#[test]
fn good_version_is_held_before_its_time() {
    let record = record(600, 60);
    let mut judge = MoveJudge::new(record.clone(), START);
    assert_eq!(run(&GOOD, &mut judge, 1, 590), None);
    let plan = SharePlan::new(record);
    let view = judge.view();
    assert!(plan.is_done(view, at(590)));
    assert_eq!(plan.share(view, &route(), at(590)), ShareRatio::ALL);
    let capacity = VersionCapacity {
        old: SlotCount::new(36),
        new: SlotCount::new(36),
    };
    assert_eq!(plan.outlook(view, capacity, at(590)), MoveOutlook::OnTime);
}

#[test]
fn failing_version_is_found_at_its_first_share() {
    let traffic = Traffic {
        new_failures: 1.0,
        ..GOOD
    };
    for seed in 1..=20 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        let cause = run(&traffic, &mut judge, seed, 60);
        assert_eq!(cause, Some(MarkCause::Failures), "seed {seed}");
    }
}

#[test]
fn slow_version_is_found_and_a_slow_service_is_not() {
    let slow = Traffic {
        new_slower: 2.0,
        ..GOOD
    };
    for seed in 1..=10 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        let cause = run(&slow, &mut judge, seed, 300);
        assert_eq!(cause, Some(MarkCause::Latency), "seed {seed}");
    }
}

#[test]
fn failures_of_the_whole_service_do_not_speak_against_the_new_version() {
    let traffic = Traffic {
        old_failures: 0.3,
        new_failures: 0.3,
        ..GOOD
    };
    for seed in 1..=20 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        assert_eq!(run(&traffic, &mut judge, seed, 590), None, "seed {seed}");
    }
}

#[test]
fn one_sick_server_does_not_speak_for_its_version() {
    let traffic = Traffic {
        sick_server: Some("n1"),
        ..GOOD
    };
    for seed in 1..=20 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        assert_eq!(run(&traffic, &mut judge, seed, 300), None, "seed {seed}");
    }
}

#[test]
fn only_server_of_a_version_speaks_for_it() {
    let traffic = Traffic {
        new_servers: &["n1"],
        sick_server: Some("n1"),
        ..GOOD
    };
    let mut judge = MoveJudge::new(record(600, 60), START);
    assert_eq!(run(&traffic, &mut judge, 1, 300), Some(MarkCause::Failures));
}

#[test]
fn mistakes_of_callers_and_cut_links_are_no_evidence() {
    let mut own = evidence("n1", 1);
    for class in [OutcomeClass::CallerMistake, OutcomeClass::NotRun] {
        own.record(VersionSide::New, &outcome("n1", class, 1), at(1));
    }
    assert!(own.cells.is_empty());
    assert_eq!(OutcomeClass::of_status(404), OutcomeClass::CallerMistake);
    assert_eq!(OutcomeClass::of_status(503), OutcomeClass::Failed);
    assert_eq!(OutcomeClass::of_status(204), OutcomeClass::Served);
}

#[test]
fn warming_server_is_judged_by_failures_only() {
    let mut own = evidence("n1", 1);
    let mut cold = outcome("n1", OutcomeClass::Served, 900);
    cold.is_warming = true;
    own.record(VersionSide::New, &cold, at(1));
    let cell = own.cells.values().next().unwrap();
    assert_eq!((cell.requests, cell.latency.count()), (1, 0));
}

#[test]
fn evidence_held_back_by_a_partition_is_counted_and_not_compared() {
    let mut judge = MoveJudge::new(record(600, 60), START);
    let mut own = evidence("n1", 1);
    for _ in 0..100 {
        own.record(
            VersionSide::New,
            &outcome("n1", OutcomeClass::Failed, 20),
            at(100),
        );
        own.record(
            VersionSide::Old,
            &outcome("o1", OutcomeClass::Served, 20),
            at(100),
        );
    }
    judge.merge(&own, at(100));
    assert_eq!(judge.tick(at(101)), None);
    let (_, judged) = judge.routes().next().unwrap();
    assert_eq!(judged.requests(VersionSide::New), 100);
}

#[test]
fn outlook_tells_early_why_a_move_cannot_arrive() {
    let slots = |old, new| VersionCapacity {
        old: SlotCount::new(old),
        new: SlotCount::new(new),
    };
    let outlook = |span, hold, judge: &MoveJudge, capacity, secs| {
        let plan = SharePlan::new(record(span, hold));
        plan.outlook(judge.view(), capacity, at(secs))
    };
    let judge = MoveJudge::new(record(600, 60), START);
    let none = outlook(600, 60, &judge, slots(36, 0), 1);
    assert_eq!(none, MoveOutlook::NoServer);
    let few = outlook(600, 60, &judge, slots(36, 12), 1);
    assert!(matches!(few, MoveOutlook::TooFewSlots { .. }));
    let idle = outlook(600, 60, &judge, slots(36, 36), 30);
    assert_eq!(idle, MoveOutlook::NoTraffic);
    let late = outlook(600, 60, &judge, slots(36, 36), 600);
    assert_eq!(late, MoveOutlook::Late);
    let short = outlook(100, 60, &judge, slots(36, 36), 1);
    assert_eq!(short, MoveOutlook::TooShort);
    let sparse = Traffic {
        requests: 1,
        ..GOOD
    };
    let mut judge = MoveJudge::new(record(600, 60), START);
    run(&sparse, &mut judge, 1, 20);
    let sparse = outlook(120, 30, &judge, slots(36, 36), 20);
    assert!(matches!(sparse, MoveOutlook::TooLittleEvidence { .. }));
}

#[test]
fn node_follows_its_judges_and_goes_by_itself_without_them() {
    let service = "tracker".parse().unwrap();
    let slot = evidence("n1", 1).source;
    let centre = "dc1".parse().unwrap();
    let mut table = MoveTable::new(slot, "dc1".parse().unwrap());
    table.merge_record(record(600, 60), START);
    let mut view = MoveView::new(record(600, 60).number, at(500));
    view.routes.insert(
        route(),
        RouteTally {
            old: 60_000,
            new: 10_000,
            recheck_share: None,
        },
    );
    table.merge_view(&service, &centre, view.clone());
    let share = |table: &MoveTable, secs| table.version_split(&service, &route(), at(secs)).share();
    assert!(share(&table, 501) > ShareRatio::from_ppm(300_000));
    assert!(share(&table, 520) <= ShareRatio::from_ppm(100_000));
    view.taken_at = at(520);
    view.routes.get_mut(&route()).unwrap().recheck_share = Some(ShareRatio::from_ppm(370_000));
    table.merge_view(&service, &centre, view);
    assert_eq!(share(&table, 521), ShareRatio::from_ppm(370_000));
}

#[test]
fn views_of_two_judges_count_the_same_requests_once() {
    let mut near = MoveJudge::new(record(600, 60), START);
    let mut twin = MoveJudge::new(record(600, 60), START);
    let mut own = evidence("n1", 1);
    for _ in 0..30 {
        own.record(
            VersionSide::Old,
            &outcome("o1", OutcomeClass::Served, 5),
            at(1),
        );
    }
    near.merge(&own, at(1));
    twin.merge(&own, at(1));
    let centre: DataCentre = "dc1".parse().unwrap();
    let mut far = MoveJudge::new(record(600, 60), START);
    for judge in [&near, &twin, &near] {
        let sum = judge.data_centre_evidence(EvidenceSource::of_data_centre(&centre), &centre);
        far.merge(&sum, at(2));
    }
    far.tick(at(3));
    assert_eq!(far.view().routes[&route()].old, 30);
}

#[test]
fn quick_stop_needs_more_than_one_failing_server() {
    let mut stop = VersionBreaker::default();
    let failed = |server| outcome(server, OutcomeClass::Crashed, 1);
    stop.observe(
        VersionSide::New,
        &outcome("n2", OutcomeClass::Served, 1),
        at(1),
    );
    for _ in 0..8 {
        stop.observe(VersionSide::New, &failed("n1"), at(1));
    }
    assert!(!stop.is_open(at(1)));
    stop.observe(VersionSide::New, &failed("n2"), at(1));
    assert!(stop.is_open(at(1)));
    assert!(!stop.is_open(at(60)));
}

/// With equal versions, the wealth may pass the limit in at most one run in that many.
#[test]
fn sequential_test_keeps_its_error_rate_under_a_changing_share() {
    const RUNS: u64 = 2_000;
    const LIMIT: f64 = 20.0;
    let server: BackendName = "n1".parse().unwrap();
    let mut alarms = 0;
    for seed in 0..RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut test = SequentialTest::new(&[3.0, 10.0, 100.0], 200.0);
        for interval in 0..200 {
            let share = 0.01 + 0.9 * f64::from(interval) / 200.0;
            let failures = if interval > 100 { 0.3 } else { 0.02 };
            let mut bin = EventBin::default();
            let new = bin.new.entry(server.clone()).or_default();
            for _ in 0..20 {
                let count = EventCount {
                    requests: 1.0,
                    events: f64::from(u8::from(rng.random::<f64>() < failures)),
                };
                if rng.random::<f64>() < share {
                    new.add(count);
                } else {
                    bin.old.add(count);
                }
            }
            test.observe(&bin);
            if test.wealth().0 >= LIMIT {
                alarms += 1;
                break;
            }
        }
    }
    assert!(alarms as f64 <= RUNS as f64 / LIMIT, "{alarms} alarms");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn curve_rises_to_the_whole_in_time_for_the_hold(
        span in 10_u64..100_000, hold in 0_u64..1_000, first in 0_u32..1_000_000,
    ) {
        let mut record = record(span, hold);
        record.rule.first_share = ShareRatio::from_ppm(first);
        let curve = ShareCurve::for_move(&record);
        let mut last = ShareRatio::NONE;
        for step in 0..=50 {
            let now = at(span * step / 50);
            let share = curve.share_at(now).min(FULL_SHARE);
            prop_assert!(share >= last);
            last = share;
        }
        prop_assert_eq!(last, FULL_SHARE);
        if !curve.is_too_short(&record) {
            let held = curve.full_share_at.after(record.rule.hold);
            prop_assert!(held <= record.by);
        }
    }

    #[test]
    fn evidence_merges_in_any_order_to_the_same(
        steps in proptest::collection::vec((0_u64..3, 0_u64..4, 1_u64..50), 1..10),
    ) {
        let mut own = evidence("n1", 1);
        let mut views = Vec::new();
        for (server, class, millis) in steps {
            let class = if class == 0 { OutcomeClass::Failed } else { OutcomeClass::Served };
            own.record(VersionSide::New, &outcome(&format!("n{server}"), class, millis), at(millis));
            views.push(own.clone());
        }
        let mut forth = evidence("n1", 1);
        let mut back = evidence("n1", 1);
        let mut parts = evidence("n1", 1);
        let mut told = None;
        for view in &views {
            parts.merge(&view.changed_since(told));
            told = Some(view);
        }
        prop_assert_eq!(&parts.cells, &own.cells);
        for view in &views {
            forth.merge(view);
        }
        for view in views.iter().rev() {
            back.merge(view);
            prop_assert!(back.merge(view).is_empty());
        }
        prop_assert_eq!(&forth.cells, &back.cells);
        prop_assert_eq!(&forth.cells, &own.cells);
    }
}
