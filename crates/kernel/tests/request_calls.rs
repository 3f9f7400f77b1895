//! Calls of runs: which requests are calls, whose account they belong to, and what runs get from a
//! service that other callers overload.

use std::{cmp::Reverse, collections::BinaryHeap};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, ServiceName, SlotCount},
    request::{
        AccountRank, AdmissionDecision, AdmissionQueue, AdmissionRequest, CallRoutes, RunRank,
        RunRegistry,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: u32 = 6;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("name is valid")
}

fn rank(priority: RequestPriority) -> RunRank {
    let account = AccountRank {
        account: name("society"),
        priority,
    };
    RunRank {
        account: Some(account),
    }
}

/// Guards against a caller that gains urgency by a short deadline: it gets the least urgent rank of
/// the runs that could have sent its request.
#[test]
fn request_gets_the_least_urgent_rank_of_the_runs_that_may_have_sent_it() {
    let mut runs = RunRegistry::default();
    let urgent = runs.begin(at(900), rank(RequestPriority::URGENT));
    runs.begin(at(600), rank(RequestPriority::DEFERRABLE));
    let deferrable = rank(RequestPriority::DEFERRABLE);
    assert_eq!(runs.rank_of_call(at(500)), Some(&deferrable));
    let expected = rank(RequestPriority::URGENT);
    assert_eq!(runs.rank_of_call(at(800)), Some(&expected));
    assert_eq!(runs.rank_of_call(at(2_000)), None);
    runs.end(urgent);
    assert_eq!(runs.rank_of_call(at(800)), None);
}

/// Guards against callers' requests that are taken for calls, in meshes of 12 to 986 nodes with 2 to
/// 78 services, while a server that makes calls is always busy.
#[test]
fn only_routes_that_miss_origins_are_calls() {
    for (seed, nodes, services) in [(1, 12, 2), (2, 74, 3), (3, 295, 20), (4, 986, 78)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut routes = CallRoutes::default();
        let (view, check): (RouteName, RouteName) = (name("view"), name("check"));
        let origin = |node: u32| -> ServiceName { name(&format!("s{}", node % services)) };
        for _ in 0..2_000 {
            routes.record(&view, &origin(rng.random_range(0..nodes)), true);
            // A node that has restarted does not know the run of one call in 50. Where there are
            // more than two services, two of them make the call.
            let caller = origin(u32::from(services > 2) * rng.random_range(0..2));
            routes.record(&check, &caller, !rng.random_bool(0.02));
        }
        assert!(!routes.is_call(&view), "{services} services");
        assert!(routes.is_call(&check), "{services} services");
    }
}

/// Guards against a gateway whose callers all enter beside one service: nothing tells its requests
/// from calls, so none of them goes first.
#[test]
fn single_origin_of_all_requests_proves_nothing() {
    let mut routes = CallRoutes::default();
    let route: RouteName = name("view");
    for _ in 0..1_000 {
        routes.record(&route, &name("gateway"), true);
    }
    assert!(!routes.is_call(&route));
    // A caller without a run beside it is not a call either, whatever its origin.
    routes.record(&name("other"), &name("planner"), true);
    let direct: RouteName = name("direct");
    for _ in 0..1_000 {
        routes.record(&direct, &name("gateway"), false);
    }
    assert!(!routes.is_call(&direct));
}

/// What the runs and the direct callers of one service get.
#[derive(Debug, Default)]
struct LoadResult {
    calls: u32,
    refused_calls: u32,
    urgent: u32,
    urgent_in_time: u32,
    busy_millis: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    is_call: bool,
    is_urgent: bool,
    arrived: u64,
    work: u64,
}

/// Plays one server for a minute: direct requests of 290 ms at 1.4 times its capacity, urgent ones
/// of 100 ms at a tenth of it, and calls of 55 ms at half of it: twice the capacity together.
fn play(seed: u64, knows_calls: bool) -> LoadResult {
    const END: u64 = 60_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue: AdmissionQueue<Job> =
        AdmissionQueue::new(SlotCount::new(SLOTS), 2 * SLOTS as usize);
    let mut running: BinaryHeap<Reverse<(u64, Job)>> = BinaryHeap::new();
    let mut result = LoadResult::default();
    let per_milli = |share: f64, work: f64| share * f64::from(SLOTS) / work;
    // Route, work, arrivals a millisecond, target, deadline.
    let kinds = [
        ("book", 290.0, per_milli(1.4, 290.0), 800, 1_500),
        ("alarm", 100.0, per_milli(0.1, 100.0), 400, 1_500),
        ("check", 55.0, per_milli(0.5, 55.0), 200, 600),
    ];
    for now in 0..END {
        while running.peek().is_some_and(|Reverse((end, _))| *end <= now) {
            let Some(Reverse((_, job))) = running.pop() else {
                break;
            };
            result.busy_millis += job.work;
            if job.is_urgent && now - job.arrived <= 400 {
                result.urgent_in_time += 1;
            }
            let (route, ..) = kinds[usize::from(job.is_urgent) + 2 * usize::from(job.is_call)];
            let took = TimeBudget::from_millis(job.work);
            queue.record_route_time(&name(route), took);
            let update = queue.release(at(now), Some(took), &mut rng);
            let refused = update.refused.iter().filter(|refused| refused.item.is_call);
            result.refused_calls += refused.count() as u32;
            for job in update.started {
                running.push(Reverse((now + job.work, job)));
            }
        }
        for (route, work, rate, target, deadline) in kinds {
            if !rng.random_bool(rate) {
                continue;
            }
            let (is_call, is_urgent) = (route == "check", route == "alarm");
            let job = Job {
                is_call,
                is_urgent,
                arrived: now,
                work: (work * rng.random_range(0.5..1.5)) as u64,
            };
            result.calls += u32::from(is_call);
            result.urgent += u32::from(is_urgent);
            let request = AdmissionRequest {
                priority: match is_urgent {
                    true => RequestPriority::URGENT,
                    false => RequestPriority::NORMAL,
                },
                deadline: at(now + deadline),
                soft_deadline: Some(at(now + target)),
                account: None,
                route: Some(name(route)),
                is_call: is_call && knows_calls,
            };
            let (decision, evicted) = queue.submit_request(at(now), &request, job, &mut rng);
            let evicted = evicted.iter().filter(|refused| refused.item.is_call);
            result.refused_calls += evicted.count() as u32;
            match decision {
                AdmissionDecision::Run => running.push(Reverse((now + job.work, job))),
                AdmissionDecision::Refuse { .. } => result.refused_calls += u32::from(is_call),
                AdmissionDecision::Wait { .. } => {}
            }
        }
    }
    result
}

/// Guards against runs that have held a slot in vain, as one call of theirs is refused by a service
/// that others overload: under 2 in 100 calls at twice its capacity, with the slots in use and
/// urgent requests unharmed.
#[test]
fn calls_are_served_by_an_overloaded_service() {
    for seed in 1..=3 {
        let result = play(seed, true);
        let refused = f64::from(result.refused_calls) / f64::from(result.calls);
        assert!(refused < 0.02, "seed {seed}: {result:?}");
        let in_time = f64::from(result.urgent_in_time) / f64::from(result.urgent);
        assert!(in_time >= 0.95, "seed {seed}: {result:?}");
        let in_use = result.busy_millis as f64 / (60_000.0 * f64::from(SLOTS));
        assert!(in_use >= 0.95, "seed {seed}: {result:?}");
        println!("seed {seed}: calls refused {refused:.4}, urgent in time {in_time:.3}");
    }
}

/// The load of the test above is one at which calls that are not told apart fail.
#[test]
fn load_of_the_calls_refuses_them_if_they_are_not_known() {
    let result = play(1, false);
    assert!(
        f64::from(result.refused_calls) / f64::from(result.calls) > 0.02,
        "{result:?}"
    );
}
