//! Limited moves of whole fleets: how many requests a faulty version gets, and whether a good one
//! is done in time.

mod move_fleet;

use std::collections::BTreeSet;

use bronzelb_kernel::{
    clock::TimeBudget,
    rollout::{ServerGroup, VersionSplit},
};

use self::move_fleet::{FleetPlan, MoveResult, VersionFault};

/// Watershed service of the probe network: two routes, three servers, 75 requests per second.
const WATERSHED: FleetPlan = FleetPlan {
    nodes: 12,
    data_centres: 3,
    servers: 3,
    rates: &[16.0, 59.0],
    work_ms: 100.0,
    span: TimeBudget::from_secs(16),
    fault: VersionFault::Good,
    burst: 1.0,
};

fn run(plan: FleetPlan, seeds: u64) -> Vec<MoveResult> {
    (0..seeds).map(|seed| plan.run(seed)).collect()
}

/// Guards against a version that is called done because no server of it had its later load.
#[test]
fn version_that_fails_under_load_keeps_to_the_exposure_and_is_never_done() {
    let plan = FleetPlan {
        fault: VersionFault::UnderLoad(0.2),
        ..WATERSHED
    };
    let mut results = run(plan, 20);
    results.retain(|result| result.breaks_limit() || result.done_after.is_some());
    assert!(
        results.is_empty(),
        "{} of 20 seeds: {results:#?}",
        results.len()
    );
}

/// Guards against a trial that works with a few servers only.
#[test]
fn version_that_fails_under_load_keeps_to_the_exposure_in_large_fleets() {
    let planner = FleetPlan {
        nodes: 74,
        data_centres: 4,
        servers: 26,
        rates: &[389.0, 39.0],
        work_ms: 220.0,
        fault: VersionFault::UnderLoad(0.2),
        ..WATERSHED
    };
    let tracker = FleetPlan {
        nodes: 295,
        data_centres: 5,
        servers: 89,
        rates: &[1_600.0, 120.0],
        work_ms: 150.0,
        ..planner
    };
    for plan in [planner, tracker] {
        let mut results = run(plan, 2);
        results.retain(|result| result.breaks_limit() || result.done_after.is_some());
        assert!(results.is_empty(), "{} nodes: {results:#?}", plan.nodes);
    }
}

/// Guards against a trial that holds back a good version.
#[test]
fn good_version_is_done_in_time() {
    let mut results = run(WATERSHED, 100);
    results.retain(|result| result.done_after.is_none_or(|after| after > WATERSHED.span));
    assert!(
        results.len() <= 1,
        "{} of 100 seeds: {results:#?}",
        results.len()
    );
}

fn taken_back(plan: FleetPlan) -> Vec<MoveResult> {
    let mut results = run(plan, 20);
    results.retain(|result| result.done_after.is_none() && result.marked_after.is_some());
    results
}

/// Guards against a version that is taken back for what a burst or a fault of the service explains.
#[test]
fn good_version_is_not_taken_back_in_a_burst_or_while_the_whole_service_fails() {
    let burst = FleetPlan {
        burst: 1.7,
        ..WATERSHED
    };
    let whole_service = FleetPlan {
        fault: VersionFault::WholeService(0.2, 9),
        ..WATERSHED
    };
    for plan in [burst, whole_service] {
        let results = taken_back(plan);
        assert!(results.is_empty(), "{:?}: {results:#?}", plan.fault);
    }
}

/// Guards against a version that is taken back for one faulty server of three.
#[test]
fn good_version_with_one_faulty_server_is_not_taken_back() {
    let results = taken_back(FleetPlan {
        fault: VersionFault::SickServer,
        ..WATERSHED
    });
    assert!(results.is_empty(), "{results:#?}");
}

/// Guards against a group that leaves out a server, or has another size.
#[test]
fn every_server_gets_its_turn_in_a_group() {
    for (size, count) in [(1, 3), (2, 3), (5, 23), (3, 3), (4, 1)] {
        let mut members = BTreeSet::new();
        for turn in 0..count as u64 {
            let group = ServerGroup {
                size,
                stride: size,
                turn,
            };
            let positions: Vec<_> = (0..count)
                .filter(|position| group.contains(*position, count))
                .collect();
            assert_eq!(positions.len(), size.min(count));
            members.extend(positions);
        }
        assert_eq!(members.len(), count);
    }
}

/// Guards against refusals of the new version that raise its share.
#[test]
fn request_that_the_new_version_refused_goes_to_the_old_one() {
    let [old, new] = ["v1", "v2"].map(|version| version.parse().expect("is a version"));
    let group = ServerGroup {
        size: 1,
        stride: 1,
        turn: 0,
    };
    let half = "50%".parse().expect("is a share");
    let split = VersionSplit::moving(old, new, half).within(Some(group));
    let first = split.choose(0);
    assert_eq!(first.preferred, Some(&"v2".parse().expect("is a version")));
    assert_eq!(first.group, Some(group));
    let again = split.choose_again(0);
    assert_eq!(again.preferred, Some(&"v1".parse().expect("is a version")));
    assert_eq!(again.group, None);
}

/// Guards against a fault of any service, size or span that gets past the limit though it fails half of
/// the requests. Prints the table of docs/design/rollout.md, with the number of seeds in `SEEDS`.
#[test]
fn version_that_fails_half_of_its_requests_keeps_to_the_exposure() {
    let secs = TimeBudget::from_secs;
    let shapes = [
        ("watershed 12", WATERSHED),
        (
            "readings 12",
            FleetPlan {
                rates: &[111.0, 18.0],
                work_ms: 90.0,
                ..WATERSHED
            },
        ),
        (
            "archive 12",
            FleetPlan {
                rates: &[38.0, 51.0],
                work_ms: 110.0,
                ..WATERSHED
            },
        ),
        (
            "tracker 12",
            FleetPlan {
                rates: &[132.0, 15.0],
                work_ms: 80.0,
                ..WATERSHED
            },
        ),
        (
            "slow 12",
            FleetPlan {
                rates: &[20.0],
                work_ms: 400.0,
                ..WATERSHED
            },
        ),
        (
            "planner 74",
            FleetPlan {
                nodes: 74,
                data_centres: 4,
                servers: 26,
                rates: &[389.0, 39.0],
                work_ms: 220.0,
                ..WATERSHED
            },
        ),
        (
            "minute 12",
            FleetPlan {
                span: secs(60),
                ..WATERSHED
            },
        ),
    ];
    let faults = [
        (VersionFault::Good, 1.0),
        (VersionFault::Good, 1.7),
        (VersionFault::SickServer, 1.0),
        (VersionFault::WholeService(0.2, 9), 1.0),
        (VersionFault::UnderLoad(0.1), 1.0),
        (VersionFault::UnderLoad(0.2), 1.0),
        (VersionFault::UnderLoad(0.5), 1.0),
        (VersionFault::From(0.5, 0), 1.0),
        (VersionFault::From(0.5, 5), 1.0),
        (VersionFault::From(0.5, 9), 1.0),
    ];
    let seeds: u64 = std::env::var("SEEDS").map_or(1, |text| text.parse().unwrap());
    for (name, shape) in shapes {
        let seeds = if shape.nodes > 12 {
            seeds.div_ceil(10)
        } else {
            seeds
        };
        for (fault, burst) in faults {
            let results: Vec<_> = (0..seeds)
                .map(|seed| {
                    FleetPlan {
                        fault,
                        burst,
                        ..shape
                    }
                    .run(seed)
                })
                .collect();
            let broken: Vec<_> = (0..)
                .zip(&results)
                .filter(|(_, result)| result.breaks_limit())
                .map(|(seed, _): (u64, _)| seed)
                .collect();
            let is_half_bad = matches!(
                fault,
                VersionFault::UnderLoad(0.5) | VersionFault::From(0.5, _)
            );
            assert!(
                !is_half_bad || broken.is_empty(),
                "{name} {fault:?}: seeds {broken:?}"
            );
            println!("{name} {fault:?} x{burst}: over the limit on seeds {broken:?}");
            let count =
                |is: &dyn Fn(&&move_fleet::MoveResult) -> bool| results.iter().filter(is).count();
            let on_time = count(&|r| r.done_after.is_some_and(|after| after <= shape.span));
            let done = count(&|r| r.done_after.is_some());
            let marked = count(&|r| r.marked_after.is_some());
            let broken = count(&|r| r.breaks_limit());
            let figures: BTreeSet<_> = results.iter().filter_map(|r| r.figures.clone()).collect();
            let mut shares: Vec<_> = results
                .iter()
                .map(|r| r.on_new as f64 / (r.all as f64 * 0.1 + 50.0))
                .collect();
            shares.sort_by(f64::total_cmp);
            println!(
                "{name:14} {:24} x{burst} of {seeds}: on time {on_time} done {done} marked {marked} broken {broken} exposure p50 {:.2} max {:.2} {figures:?}",
                format!("{fault:?}"),
                shares[shares.len() / 2],
                shares[shares.len() - 1]
            );
        }
    }
}
