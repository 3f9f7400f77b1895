//! Share curve, sequential test, and evaluation of a move on merged evidence.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{RolloutRule, ShareRatio},
    ids::{AttemptToken, BackendName, DataCentre, IncarnationNumber, RouteName, SlotCount},
    rollout::{
        EventBin, EventCount, EvidenceSource, FULL_SHARE, MarkCause, MoveEvidence, MoveJudge,
        MoveOutlook, MoveRecord, MoveRequest, MoveTable, MoveView, OutcomeClass, OutcomeReport,
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
    let request = MoveRequest {
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
    MoveRecord::start(None, request, START, AttemptToken::new(1)).unwrap()
}

fn at(secs: u64) -> ClockInstant {
    START.after(TimeBudget::from_secs(secs))
}

fn route() -> RouteName {
    "read".parse().unwrap()
}

fn evidence(node: &str, incarnation: u64) -> MoveEvidence {
    let source = EvidenceSource {
        node: node.parse().unwrap(),
        incarnation: IncarnationNumber::new(incarnation),
    };
    let number = record(600, 60).number;
    MoveEvidence::new(source, "dc1".parse().unwrap(), number, START)
}

fn outcome(backend: &str, class: OutcomeClass, millis: u64) -> OutcomeReport {
    OutcomeReport {
        service: "tracker".parse().unwrap(),
        route: route(),
        version: "v2".parse().unwrap(),
        backend: backend.parse().unwrap(),
        class,
        latency: TimeBudget::from_millis(millis),
        is_in_slow_start: false,
    }
}

/// Requests per interval of half a second, with the failure rate and latency of each version.
struct Traffic {
    requests: u32,
    old_failure_rate: f64,
    new_failure_rate: f64,
    new_latency_factor: f64,
    new_servers: &'static [&'static str],
    faulty_server: Option<&'static str>,
}

const GOOD: Traffic = Traffic {
    requests: 60,
    old_failure_rate: 0.001,
    new_failure_rate: 0.001,
    new_latency_factor: 1.0,
    new_servers: &["n1", "n2", "n3"],
    faulty_server: None,
};

/// Runs a judge with the evidence of one node for `secs`, and returns the cause of the fault if it
/// finds one.
fn run(traffic: &Traffic, judge: &mut MoveJudge, seed: u64, secs: u64) -> Option<MarkCause> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut local = evidence("n1", 1);
    let plan = SharePlan::new(record(600, 60));
    for interval in 1..=secs * 2 {
        let now = START.after(TimeBudget::from_millis(interval * 500));
        let share = plan.share(judge.view(), &route(), now).as_f64();
        for _ in 0..traffic.requests {
            let is_new = rng.random::<f64>() < share;
            let (side, report) = draw(traffic, is_new, &mut rng);
            local.record(side, &report, now);
        }
        local.taken_at = now;
        judge.merge(&local, now);
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
    let failure_rate = match is_new {
        true if traffic.faulty_server == Some(server) => 0.5,
        true => traffic.new_failure_rate,
        false => traffic.old_failure_rate,
    };
    let class = match rng.random::<f64>() < failure_rate {
        true => OutcomeClass::Failed,
        false => OutcomeClass::Served,
    };
    let factor = if is_new {
        traffic.new_latency_factor
    } else {
        1.0
    };
    let millis = 20.0 * (1.2 * rng.random::<f64>()).exp() * factor;
    let side = if is_new {
        VersionSide::New
    } else {
        VersionSide::Old
    };
    (side, outcome(server, class, millis as u64))
}

#[test]
fn good_version_is_done_before_its_deadline() {
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
fn failing_version_is_detected_at_the_first_share() {
    let traffic = Traffic {
        new_failure_rate: 1.0,
        ..GOOD
    };
    for seed in 1..=20 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        let cause = run(&traffic, &mut judge, seed, 60);
        assert_eq!(cause, Some(MarkCause::Failures), "seed {seed}");
    }
}

#[test]
fn slow_version_is_detected() {
    let slow = Traffic {
        new_latency_factor: 2.0,
        ..GOOD
    };
    for seed in 1..=10 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        let cause = run(&slow, &mut judge, seed, 300);
        assert_eq!(cause, Some(MarkCause::Latency), "seed {seed}");
    }
}

#[test]
fn equal_failure_rates_of_both_versions_are_no_fault() {
    let traffic = Traffic {
        old_failure_rate: 0.3,
        new_failure_rate: 0.3,
        ..GOOD
    };
    for seed in 1..=20 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        assert_eq!(run(&traffic, &mut judge, seed, 590), None, "seed {seed}");
    }
}

#[test]
fn one_faulty_server_of_several_is_no_fault_of_the_version() {
    let traffic = Traffic {
        faulty_server: Some("n1"),
        ..GOOD
    };
    for seed in 1..=20 {
        let mut judge = MoveJudge::new(record(600, 60), START);
        assert_eq!(run(&traffic, &mut judge, seed, 300), None, "seed {seed}");
    }
}

#[test]
fn faulty_only_server_is_a_fault_of_the_version() {
    let traffic = Traffic {
        new_servers: &["n1"],
        faulty_server: Some("n1"),
        ..GOOD
    };
    let mut judge = MoveJudge::new(record(600, 60), START);
    assert_eq!(run(&traffic, &mut judge, 1, 300), Some(MarkCause::Failures));
}

#[test]
fn caller_mistakes_and_attempts_that_did_not_run_are_no_evidence() {
    let mut local = evidence("n1", 1);
    for class in [OutcomeClass::CallerMistake, OutcomeClass::NotRun] {
        local.record(VersionSide::New, &outcome("n1", class, 1), at(1));
    }
    assert!(local.cells.is_empty());
    assert_eq!(OutcomeClass::of_status(404), OutcomeClass::CallerMistake);
    assert_eq!(OutcomeClass::of_status(503), OutcomeClass::Failed);
    assert_eq!(OutcomeClass::of_status(204), OutcomeClass::Served);
}

#[test]
fn server_in_slow_start_is_evaluated_by_failures_only() {
    let mut local = evidence("n1", 1);
    let mut in_slow_start = outcome("n1", OutcomeClass::Served, 900);
    in_slow_start.is_in_slow_start = true;
    local.record(VersionSide::New, &in_slow_start, at(1));
    let cell = local.cells.values().next().unwrap();
    assert_eq!((cell.requests, cell.latency.count()), (1, 0));
}

#[test]
fn evidence_delayed_by_a_partition_is_counted_but_not_compared() {
    let mut judge = MoveJudge::new(record(600, 60), START);
    let mut local = evidence("n1", 1);
    for _ in 0..100 {
        local.record(
            VersionSide::New,
            &outcome("n1", OutcomeClass::Failed, 20),
            at(100),
        );
        local.record(
            VersionSide::Old,
            &outcome("o1", OutcomeClass::Served, 20),
            at(100),
        );
    }
    judge.merge(&local, at(100));
    assert_eq!(judge.tick(at(101)), None);
    let (_, route_judge) = judge.routes().next().unwrap();
    assert_eq!(route_judge.requests(VersionSide::New), 100);
}

#[test]
fn outlook_reports_why_a_move_will_miss_its_deadline() {
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
fn node_uses_the_view_of_its_judges_until_it_expires() {
    let service = "tracker".parse().unwrap();
    let source = evidence("n1", 1).source;
    let data_centre = "dc1".parse().unwrap();
    let mut table = MoveTable::new(source, "dc1".parse().unwrap());
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
    table.merge_view(&service, &data_centre, view.clone());
    let share = |table: &MoveTable, secs| table.version_split(&service, &route(), at(secs)).share();
    assert!(share(&table, 501) > ShareRatio::from_ppm(300_000));
    assert!(share(&table, 520) <= ShareRatio::from_ppm(100_000));
    view.taken_at = at(520);
    view.routes.get_mut(&route()).unwrap().recheck_share = Some(ShareRatio::from_ppm(370_000));
    table.merge_view(&service, &data_centre, view);
    assert_eq!(share(&table, 521), ShareRatio::from_ppm(370_000));
}

#[test]
fn evidence_from_two_judges_counts_the_same_requests_once() {
    let mut first = MoveJudge::new(record(600, 60), START);
    let mut second = MoveJudge::new(record(600, 60), START);
    let mut local = evidence("n1", 1);
    for _ in 0..30 {
        local.record(
            VersionSide::Old,
            &outcome("o1", OutcomeClass::Served, 5),
            at(1),
        );
    }
    first.merge(&local, at(1));
    second.merge(&local, at(1));
    let data_centre: DataCentre = "dc1".parse().unwrap();
    let mut remote = MoveJudge::new(record(600, 60), START);
    for judge in [&first, &second, &first] {
        let sum =
            judge.data_centre_evidence(EvidenceSource::of_data_centre(&data_centre), &data_centre);
        remote.merge(&sum, at(2));
    }
    remote.tick(at(3));
    assert_eq!(remote.view().routes[&route()].old, 30);
}

#[test]
fn breaker_opens_only_if_more_than_one_server_fails() {
    let mut breaker = VersionBreaker::default();
    let failed = |server| outcome(server, OutcomeClass::Crashed, 1);
    breaker.observe(
        VersionSide::New,
        &outcome("n2", OutcomeClass::Served, 1),
        at(1),
    );
    for _ in 0..8 {
        breaker.observe(VersionSide::New, &failed("n1"), at(1));
    }
    assert!(!breaker.is_open(at(1)));
    breaker.observe(VersionSide::New, &failed("n2"), at(1));
    assert!(breaker.is_open(at(1)));
    assert!(!breaker.is_open(at(60)));
}

/// With equal versions, the wealth reaches the limit in at most one of `LIMIT` runs.
#[test]
fn sequential_test_bounds_the_false_alarm_rate_under_a_changing_share() {
    const RUNS: u64 = 2_000;
    const LIMIT: f64 = 20.0;
    let server: BackendName = "n1".parse().unwrap();
    let mut alarms = 0;
    for seed in 0..RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut test = SequentialTest::new(&[3.0, 10.0, 100.0], 200.0);
        for interval in 0..200 {
            let share = 0.01 + 0.9 * f64::from(interval) / 200.0;
            let failure_rate = if interval > 100 { 0.3 } else { 0.02 };
            let mut bin = EventBin::default();
            let new = bin.new.entry(server.clone()).or_default();
            for _ in 0..20 {
                let count = EventCount {
                    requests: 1.0,
                    events: f64::from(u8::from(rng.random::<f64>() < failure_rate)),
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
    fn curve_reaches_the_full_share_in_time_for_the_hold(
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
            let hold_end = curve.full_share_at.after(record.rule.hold);
            prop_assert!(hold_end <= record.by);
        }
    }

    #[test]
    fn merged_evidence_is_independent_of_the_order(
        steps in proptest::collection::vec((0_u64..3, 0_u64..4, 1_u64..50), 1..10),
    ) {
        let mut local = evidence("n1", 1);
        let mut snapshots = Vec::new();
        for (server, class, millis) in steps {
            let class = if class == 0 { OutcomeClass::Failed } else { OutcomeClass::Served };
            local.record(VersionSide::New, &outcome(&format!("n{server}"), class, millis), at(millis));
            snapshots.push(local.clone());
        }
        let mut forward = evidence("n1", 1);
        let mut backward = evidence("n1", 1);
        let mut parts = evidence("n1", 1);
        let mut sent = None;
        for snapshot in &snapshots {
            parts.merge(&snapshot.changed_since(sent));
            sent = Some(snapshot);
        }
        prop_assert_eq!(&parts.cells, &local.cells);
        for snapshot in &snapshots {
            forward.merge(snapshot);
        }
        for snapshot in snapshots.iter().rev() {
            backward.merge(snapshot);
            prop_assert!(backward.merge(snapshot).is_empty());
        }
        prop_assert_eq!(&forward.cells, &backward.cells);
        prop_assert_eq!(&forward.cells, &local.cells);
    }
}

/// Guards against a failing version that a node goes on sending to until the judges have compared:
/// one that fails half of its requests gets few more than the node needs to see two failures.
#[test]
fn breaker_stops_a_version_that_begins_to_fail() {
    let mut sent_after_fault = Vec::new();
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut breaker = VersionBreaker::for_span(TimeBudget::from_secs(15));
        let mut sent = 0;
        // Six requests a second go to the new version, which begins to fail in second 5.
        for tick in 0..48_u64 {
            let now = START.after(TimeBudget::from_millis(tick * 1_000 / 6));
            if breaker.is_open(now) {
                continue;
            }
            let is_bad = tick >= 30;
            sent += u32::from(is_bad);
            let class = match is_bad && rng.random_bool(0.5) {
                true => OutcomeClass::Failed,
                false => OutcomeClass::Served,
            };
            let server = if rng.random_bool(0.5) { "n1" } else { "n2" };
            breaker.observe(VersionSide::New, &outcome(server, class, 1), now);
        }
        sent_after_fault.push(sent);
    }
    let mean = f64::from(sent_after_fault.iter().sum::<u32>()) / sent_after_fault.len() as f64;
    // Without a breaker the version gets 18 requests in the three seconds.
    assert!(mean <= 8.0, "{mean} requests after the fault");
}

/// Guards against a breaker that holds back a good version: with one failure in 250 it is open for
/// less than a hundredth of the time.
#[test]
fn breaker_seldom_opens_for_a_good_version() {
    let mut open = 0;
    let mut ticks = 0;
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut breaker = VersionBreaker::for_span(TimeBudget::from_secs(600));
        for tick in 0..6_000_u64 {
            let now = START.after(TimeBudget::from_millis(tick * 100));
            ticks += 1;
            if breaker.is_open(now) {
                open += 1;
                continue;
            }
            let class = match rng.random_bool(0.004) {
                true => OutcomeClass::Failed,
                false => OutcomeClass::Served,
            };
            let server = if rng.random_bool(0.5) { "n1" } else { "n2" };
            breaker.observe(VersionSide::New, &outcome(server, class, 1), now);
        }
    }
    assert!(open * 100 < ticks, "open in {open} of {ticks} steps");
}

/// Guards against a move that gives a faulty version more than the operators' share of the requests:
/// whenever the fault begins before the move is done, and for moves of 15 s to a day.
#[test]
fn limited_move_keeps_to_the_exposure() {
    let limit = ShareRatio::from_ppm(100_000);
    for (span, hold) in [(15, 1), (16, 2), (60, 5), (600, 60), (86_400, 60)] {
        let record = record(span, hold);
        let curve = ShareCurve::with_exposure(&record, Some(limit));
        let detection = TimeBudget::from_millis((span * 1_000 / 12).min(10_000));
        let hold_end = curve
            .full_share_at
            .after(record.rule.hold)
            .after(curve.propagation_time);
        let end = hold_end.after(detection);
        let steps = 10_000;
        let total = START.elapsed(end).as_micros();
        let share_at = |step: u64| {
            let now = START.after(TimeBudget::from_micros(total * step / steps));
            curve.share_at(now).as_f64()
        };
        let exposure: f64 =
            (0..steps).map(share_at).sum::<f64>() / steps as f64 * START.elapsed(end).as_secs_f64();
        assert!(exposure <= 0.101 * span as f64, "{span} s: {exposure}");
        // The move still ends in time, and a tenth is not left unused.
        assert!(hold_end <= record.by, "{span} s");
        let is_limited = curve.full_share < FULL_SHARE;
        assert!(
            !is_limited || exposure >= 0.09 * span as f64,
            "{span} s: {exposure}"
        );
        println!("{span} s: full share {}", curve.full_share);
    }
    let record = record(600, 60);
    let unlimited = ShareCurve::for_move(&record);
    assert_eq!(unlimited.full_share, FULL_SHARE);
}
