//! Order of requests of several client accounts at one server.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{AccountName, SlotCount},
    request::{
        AccountRank, AdmissionDecision, AdmissionQueue, AdmissionRequest, FairOrder, QueueKey,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SEED: u64 = 5;
const SLOTS: u32 = 6;
const QUEUE: usize = 12;
const SECONDS: u64 = 60;
const WORK_MS: u64 = 100;
/// The small accounts together use 0.6 of the capacity.
const SMALL_ACCOUNTS: usize = 12;
const SMALL_PER_SECOND: f64 = 3.0;
const SOFT_DEADLINE_MS: u64 = 400;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn name(index: usize) -> AccountName {
    let name = format!("account-{index}");
    name.parse().expect("name is valid")
}

fn rank(index: usize, priority: RequestPriority) -> AccountRank {
    AccountRank {
        account: name(index),
        priority,
    }
}

fn request(
    account: Option<AccountRank>,
    priority: RequestPriority,
    deadline: ClockInstant,
) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        deadline,
        soft_deadline: None,
        account,
        route: None,
        is_call: false,
    }
}

/// Submits requests to a queue whose only slot is taken, and returns the order in which they start.
fn start_order(requests: &[(&'static str, AdmissionRequest)]) -> Vec<&'static str> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 100);
    let first = request(None, RequestPriority::NORMAL, at(60_000));
    queue.submit_request(at(0), &first, "first", &mut rng);
    for (item, waiting) in requests {
        let (decision, _) = queue.submit_request(at(0), waiting, item, &mut rng);
        assert!(
            matches!(decision, AdmissionDecision::Wait { .. }),
            "{item}: {decision:?}"
        );
    }
    let took = TimeBudget::from_millis(5);
    let ends = requests.iter().map(|_| ());
    ends.flat_map(|()| queue.release(at(1), Some(took), &mut rng).started)
        .collect()
}

#[test]
fn account_priority_precedes_route_priority_and_nested_calls_come_first() {
    let (urgent, deferrable) = (RequestPriority::URGENT, RequestPriority::DEFERRABLE);
    let order = start_order(&[
        ("low", request(Some(rank(1, deferrable)), urgent, at(1_000))),
        (
            "high later",
            request(Some(rank(2, urgent)), deferrable, at(2_000)),
        ),
        ("high", request(Some(rank(3, urgent)), urgent, at(2_000))),
        ("call", request(None, deferrable, at(3_000))),
    ]);
    assert_eq!(order, ["call", "high", "high later", "low"]);
}

#[test]
fn waiting_accounts_take_turns_and_start_by_deadline_within_one() {
    let normal = RequestPriority::NORMAL;
    let of = |account, deadline| request(Some(rank(account, normal)), normal, at(deadline));
    let order = start_order(&[
        ("a2", of(1, 2_000)),
        ("a3", of(1, 3_000)),
        ("a1", of(1, 1_000)),
        ("a4", of(1, 4_000)),
        ("a5", of(1, 5_000)),
        ("b1", of(2, 2_500)),
        ("b2", of(2, 9_000)),
    ]);
    // The fourth request of an account ends with its first turn, so it starts in the second.
    assert_eq!(order, ["a1", "a2", "b1", "a3", "b2", "a4", "a5"]);
}

/// Guards against fairness that changes the order in a mesh without accounts.
#[test]
fn requests_without_accounts_start_by_priority_then_deadline() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = AdmissionQueue::new(SlotCount::new(1), 1_000);
        let mut waiting = Vec::new();
        for item in 0..40_u64 {
            let priority = RequestPriority::ALL[rng.random_range(0..3)];
            let deadline = at(60_000 + 10 * rng.random_range(0..10));
            let (decision, _) = queue.submit(at(0), priority, deadline, item, &mut rng);
            if matches!(decision, AdmissionDecision::Wait { .. }) {
                waiting.push((priority, deadline, item));
            }
        }
        waiting.sort_unstable();
        let expected: Vec<_> = waiting.into_iter().map(|(_, _, item)| item).collect();
        let mut started = Vec::new();
        while queue.waiting() > 0 {
            let took = TimeBudget::from_millis(5);
            started.extend(queue.release(at(1), Some(took), &mut rng).started);
        }
        assert_eq!(started, expected, "seed {seed}");
    }
}

/// Guards against an account that fills the queue with requests of a more urgent route.
#[test]
fn account_that_holds_more_than_half_of_a_full_queue_makes_room_for_others() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 4);
    let (urgent, normal) = (RequestPriority::URGENT, RequestPriority::NORMAL);
    let mut submit = |item: &'static str, account, priority| {
        let request = request(Some(rank(account, normal)), priority, at(60_000));
        let (decision, refused) = queue.submit_request(at(0), &request, item, &mut rng);
        let waits = matches!(decision, AdmissionDecision::Wait { .. });
        let refused: Vec<_> = refused.into_iter().map(|refused| refused.item).collect();
        (waits, refused)
    };
    submit("running", 1, urgent);
    for item in ["a1", "a2", "a3", "a4"] {
        assert_eq!(submit(item, 1, urgent), (true, vec![]));
    }
    assert_eq!(submit("b", 2, normal), (true, vec!["a4"]));
    assert_eq!(submit("c", 3, normal), (true, vec!["a3"]));
    // The large account holds no more than its share now, so the least urgent request goes.
    assert_eq!(submit("d", 4, normal), (false, vec![]));
    assert_eq!(submit("a5", 1, urgent), (false, vec![]));
}

/// Guards against finish times that grow with the number of accounts ever seen.
#[test]
fn kept_finish_times_are_bounded() {
    let mut order = FairOrder::default();
    for index in 0..20_000 {
        let cost = TimeBudget::from_millis(10);
        order.record_start(&name(index), order.arrival_time(cost), cost);
    }
    assert!(order.accounts() <= 512, "{}", order.accounts());
}

/// Guards against cancelled or refused requests that cost their account a turn.
#[test]
fn only_started_requests_count() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 100);
    let normal = RequestPriority::NORMAL;
    let mut submit = |queue: &mut AdmissionQueue<&'static str>, item, account, deadline| {
        let request = request(Some(rank(account, normal)), normal, at(deadline));
        match queue.submit_request(at(0), &request, item, &mut rng) {
            (AdmissionDecision::Wait { queue_key, .. }, _) => Some(queue_key),
            _ => None,
        }
    };
    submit(&mut queue, "running", 3, 60_000);
    let cancelled: Vec<QueueKey> = (0..20)
        .filter_map(|_| submit(&mut queue, "cancelled", 1, 60_000))
        .collect();
    assert_eq!(cancelled.len(), 20);
    for queue_key in cancelled {
        queue.cancel(queue_key);
    }
    submit(&mut queue, "b", 2, 50_000);
    submit(&mut queue, "a", 1, 40_000);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let update = queue.release(at(1), Some(TimeBudget::from_millis(5)), &mut rng);
    assert_eq!(update.started, ["a"]);
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    account: usize,
    arrived: u64,
    work: u64,
}

/// Shares of each account's requests that are answered in time on a server with six slots.
///
/// Account 0 sends `large_per_second` requests; the others send [`SMALL_PER_SECOND`] each.
fn in_time_shares(seed: u64, large_per_second: f64, is_fair: bool) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = AdmissionQueue::new(SlotCount::new(SLOTS), QUEUE);
    let mut running: BinaryHeap<Reverse<(u64, Job)>> = BinaryHeap::new();
    let mut tallies: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    for now in 0..SECONDS * 1_000 {
        while let Some(Reverse((end, job))) = running.peek().copied()
            && end <= now
        {
            running.pop();
            let is_in_time = now - job.arrived <= SOFT_DEADLINE_MS;
            tallies.entry(job.account).or_default().1 += usize::from(is_in_time);
            let took = TimeBudget::from_millis(job.work);
            let update = queue.release(at(now), Some(took), &mut rng);
            let started = update.started.into_iter();
            running.extend(started.map(|job: Job| Reverse((now + job.work, job))));
        }
        for account in 0..=SMALL_ACCOUNTS {
            let rate = match account {
                0 => large_per_second,
                _ => SMALL_PER_SECOND,
            };
            if !rng.random_bool(rate / 1_000.0) {
                continue;
            }
            let work = WORK_MS * rng.random_range(50..150) / 100;
            let (arrived, normal) = (now, RequestPriority::NORMAL);
            let job = Job {
                account,
                arrived,
                work,
            };
            tallies.entry(account).or_default().0 += 1;
            let request = AdmissionRequest {
                soft_deadline: Some(at(now + SOFT_DEADLINE_MS)),
                ..request(
                    is_fair.then(|| rank(account, normal)),
                    normal,
                    at(now + 1_200),
                )
            };
            let (decision, _) = queue.submit_request(at(now), &request, job, &mut rng);
            if decision == AdmissionDecision::Run {
                running.push(Reverse((now + work, job)));
            }
        }
    }
    let shares = tallies.into_values();
    shares
        .map(|(sent, in_time)| in_time as f64 / sent as f64)
        .collect()
}

/// Guards against a large account that starves small ones (uneven-load.md, part 5): account 0 sends
/// 8 times what the server has left.
#[test]
fn flood_of_one_account_costs_the_others_nothing() {
    let worst = |shares: &[f64]| shares[1..].iter().copied().fold(1.0, f64::min);
    for seed in 0..5 {
        let quiet = worst(&in_time_shares(seed, 3.0, true));
        let flooded = in_time_shares(seed, 192.0, true);
        let unfair = worst(&in_time_shares(seed, 192.0, false));
        println!(
            "seed {seed}: worst small account {quiet:.3} without flood, {:.3} with it, \
             {unfair:.3} without fairness; large account {:.3}",
            worst(&flooded),
            flooded[0]
        );
        assert!(
            worst(&flooded) >= quiet - 0.02,
            "seed {seed}: {flooded:?}, {quiet} without the flood"
        );
        // The large account gets what the others leave: 0.4 of the capacity, an eighth of its
        // requests.
        assert!(flooded[0] >= 0.1, "seed {seed}: {}", flooded[0]);
        assert!(unfair < 0.6, "seed {seed}: the flood is harmless: {unfair}");
    }
}
