//! Moves that operators' documents order: they leave every other version, and are short.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{RolloutRule, ServiceSpec},
    ids::{AttemptToken, BackendName, BuildVersion, DataCentre, IncarnationNumber, MoveNumber},
    rollout::{
        MoveRecord, MoveState, MoveTable, NodeSlot, OutcomeClass, OutcomeReport, VersionSide,
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
    }
}

fn table() -> MoveTable {
    let slot = NodeSlot {
        node: "n1".parse().expect("is a name"),
        incarnation: IncarnationNumber::new(1),
    };
    let centre: DataCentre = "dc1".parse().expect("is a name");
    let mut table = MoveTable::new(slot, centre);
    table.set_judge(&"tracker".parse().expect("is a name"), true);
    table
}

/// What became of a move that was played to its end.
struct Played {
    taken_back_after: Option<TimeBudget>,
    done_after: Option<TimeBudget>,
    on_new: u64,
    all: u64,
}

/// Plays a move in which the new version fails a request with the probability that `failing` gives
/// for the time since the start.
fn play(seed: u64, failing: impl Fn(TimeBudget) -> f64) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = table();
    let service = "tracker".parse().expect("is a name");
    let route = "read".parse().expect("is a name");
    table.merge_record(order(1, "v2", None), START);
    table.set_judge(&service, true);
    let mut played = Played {
        taken_back_after: None,
        done_after: None,
        on_new: 0,
        all: 0,
    };
    let pace = TimeBudget::from_micros(1_000_000 / REQUESTS_PER_SECOND);
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
        played.all += 1;
        let elapsed = START.elapsed(now);
        let mut class = OutcomeClass::of_status(200);
        if chosen == version("v2") {
            played.on_new += 1;
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
            is_warming: false,
        };
        table.record_outcome(&report, now);
        if next_tick.has_passed(now) {
            next_tick = now.after(TimeBudget::from_millis(500));
            if !table.tick(now).is_empty() {
                played.taken_back_after.get_or_insert(elapsed);
            }
            if table.is_done(&service, now) {
                played.done_after.get_or_insert(elapsed);
            }
        }
        now = now.after(pace);
    }
    played
}

#[test]
fn good_version_is_done_within_a_short_span() {
    for seed in 0..20 {
        let played = play(seed, |_| 0.0);
        assert_eq!(played.taken_back_after, None, "seed {seed}");
        assert!(played.done_after.is_some(), "seed {seed}");
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
            let played = play(seed, bad_from(start));
            assert!(played.taken_back_after.is_some(), "{kind}, seed {seed}");
            // The users' bound: a tenth of the requests and fifty.
            let allowed = played.all / 10 + 50;
            assert!(
                played.on_new <= allowed,
                "{kind}, seed {seed}: {}",
                played.on_new
            );
        }
    }
}

#[test]
fn move_that_leaves_all_versions_takes_each_other_one_for_old() {
    let record = order(1, "v3", None);
    assert_eq!(record.side_of(&version("v3")), Some(VersionSide::New));
    assert_eq!(record.side_of(&version("v1")), Some(VersionSide::Old));
    assert_eq!(record.side_of(&version("v2")), Some(VersionSide::Old));
}

#[test]
fn target_of_a_move_that_was_not_done_stays_barred_in_the_next_one() {
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
    // A node that did not know of the first move does not bring its target back.
    table.merge_record(order(2, "v3", None), START);
    let split = table.version_split(&service, &route, START);
    assert_eq!(split.choose(0).rank(&version("v2")), None);
    // An operator may order the version again.
    let third = order(3, "v2", Some(&second));
    assert_eq!(third.barred, [version("v3")]);
}

#[test]
fn node_that_knows_no_old_server_does_not_turn_the_move_around() {
    // A node that had just started beside the new version once wrote it as the one to leave.
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
