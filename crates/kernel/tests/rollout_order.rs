//! Moves ordered by operators' documents, which replace every other version and are short.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{RolloutRule, ServiceSpec},
    ids::{AttemptToken, BackendName, BuildVersion, DataCentre, IncarnationNumber, MoveNumber},
    rollout::{
        EvidenceSource, MoveRecord, MoveState, MoveTable, OutcomeClass, OutcomeReport, VersionSide,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const START: ClockInstant = ClockInstant::from_millis(1_000_000);
const SPAN: TimeBudget = TimeBudget::from_secs(14);
const REQUESTS_PER_SECOND: u64 = 130;

fn version(name: &str) -> BuildVersion {
    name.parse().expect("is a version")
}

fn order(number: u64, target: &str, last: Option<&MoveRecord>) -> MoveRecord {
    let rule: RolloutRule = ServiceSpec::with_defaults(110).rollout;
    MoveRecord {
        service: "tracker".parse().expect("is a name"),
        number: MoveNumber::new(number),
        from: version(target),
        to: version(target),
        start: START,
        by: START.after(SPAN),
        rule,
        state: MoveState::Running,
        attempt: AttemptToken::new(1),
        statement: None,
        mark: None,
        barred: last.map_or_else(Vec::new, |last| last.barred_after(&version(target))),
        earlier: last.map_or_else(Vec::new, MoveRecord::earlier_after),
    }
}

fn table() -> MoveTable {
    let source = EvidenceSource {
        node: "n1".parse().expect("is a name"),
        incarnation: IncarnationNumber::new(1),
    };
    let data_centre: DataCentre = "dc1".parse().expect("is a name");
    let mut table = MoveTable::new(source, data_centre);
    table.set_judge(&"tracker".parse().expect("is a name"), true);
    table
}

/// Result of a simulated move.
struct Simulation {
    taken_back_after: Option<TimeBudget>,
    done_after: Option<TimeBudget>,
    on_new: u64,
    all: u64,
}

/// Simulates a move in which the new version fails requests with the probability `failing`, a
/// function of the time since the start.
fn simulate(seed: u64, failing: impl Fn(TimeBudget) -> f64) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = table();
    let service = "tracker".parse().expect("is a name");
    let route = "read".parse().expect("is a name");
    table.merge_record(order(1, "v2", None), START);
    table.set_judge(&service, true);
    let mut simulation = Simulation {
        taken_back_after: None,
        done_after: None,
        on_new: 0,
        all: 0,
    };
    let request_interval = TimeBudget::from_micros(1_000_000 / REQUESTS_PER_SECOND);
    let mut now = START;
    let mut next_tick = START;
    while now < START.after(SPAN) {
        let split = table.version_split(&service, &route, now);
        let choice = split.choose(rng.random());
        let ranked = ["v1", "v2"].map(version);
        let chosen = ranked
            .iter()
            .min_by_key(|version| choice.rank(version).unwrap_or(9));
        let chosen = chosen.expect("there are two").clone();
        simulation.all += 1;
        let elapsed = START.elapsed(now);
        let mut class = OutcomeClass::of_status(200);
        if chosen == version("v2") {
            simulation.on_new += 1;
            if rng.random_bool(failing(elapsed)) {
                class = OutcomeClass::of_status(500);
            }
        }
        let server: BackendName = format!("{chosen}-{}", rng.random_range(0..3))
            .parse()
            .expect("is a name");
        let report = OutcomeReport {
            service: service.clone(),
            route: route.clone(),
            version: chosen,
            backend: server,
            class,
            latency: TimeBudget::from_millis(rng.random_range(80..200)),
            is_in_slow_start: false,
        };
        table.record_outcome(&report, now);
        if next_tick.has_passed(now) {
            next_tick = now.after(TimeBudget::from_millis(500));
            if !table.tick(now).is_empty() {
                simulation.taken_back_after.get_or_insert(elapsed);
            }
            if table.is_done(&service, now) {
                simulation.done_after.get_or_insert(elapsed);
            }
        }
        now = now.after(request_interval);
    }
    simulation
}

#[test]
fn good_version_is_done_within_a_short_span() {
    for seed in 0..20 {
        let simulation = simulate(seed, |_| 0.0);
        assert_eq!(simulation.taken_back_after, None, "seed {seed}");
        assert!(simulation.done_after.is_some(), "seed {seed}");
    }
}

#[test]
fn bad_version_gets_a_tenth_of_the_requests_at_most() {
    let bad_from = |start: u64| {
        move |elapsed: TimeBudget| {
            if elapsed < TimeBudget::from_millis(start) {
                0.0
            } else {
                0.45
            }
        }
    };
    for (kind, start) in [("at once", 0), ("later", 3_000)] {
        for seed in 0..20 {
            let simulation = simulate(seed, bad_from(start));
            assert!(simulation.taken_back_after.is_some(), "{kind}, seed {seed}");
            // Users accept at most a tenth of the requests and 50 more on a bad version.
            let allowed = simulation.all / 10 + 50;
            assert!(
                simulation.on_new <= allowed,
                "{kind}, seed {seed}: {}",
                simulation.on_new
            );
        }
    }
}

#[test]
fn move_that_replaces_all_versions_treats_each_other_one_as_old() {
    let record = order(1, "v3", None);
    assert_eq!(record.side_of(&version("v3")), Some(VersionSide::New));
    assert_eq!(record.side_of(&version("v1")), Some(VersionSide::Old));
    assert_eq!(record.side_of(&version("v2")), Some(VersionSide::Old));
}

#[test]
fn target_of_an_unfinished_move_stays_barred_in_the_next_one() {
    let first = order(1, "v2", None);
    let second = order(2, "v3", Some(&first));
    let mut table = table();
    table.merge_record(first, START);
    table.merge_record(second.clone(), START);
    let service = "tracker".parse().expect("is a name");
    let route = "read".parse().expect("is a name");
    for point in 0..1_000 {
        let split = table.version_split(&service, &route, START);
        assert_eq!(split.choose(point * 997).rank(&version("v2")), None);
    }
    assert_eq!(second.side_of(&version("v2")), None);
    // A record from a node that does not know the first move does not unbar its target.
    table.merge_record(order(2, "v3", None), START);
    let split = table.version_split(&service, &route, START);
    assert_eq!(split.choose(0).rank(&version("v2")), None);
    // A later order of the version unbars it.
    let third = order(3, "v2", Some(&second));
    assert_eq!(third.barred, [version("v3")]);
}

/// Guards against a reversed move: a node that has just started and knows only servers of the new
/// version could record that version as the one to leave.
#[test]
fn move_without_known_old_servers_is_not_reversed() {
    let record = order(1, "v2", None);
    let mut table = table();
    table.merge_record(record, START);
    let service = "tracker".parse().expect("is a name");
    let route = "read".parse().expect("is a name");
    let mut on_new = 0;
    for point in 0..1_000_u64 {
        let split = table.version_split(&service, &route, START);
        let choice = split.choose(point * 1_000);
        on_new += u32::from(choice.rank(&version("v2")) < choice.rank(&version("v1")));
    }
    assert!(on_new <= 100, "{on_new} of 1000");
}
