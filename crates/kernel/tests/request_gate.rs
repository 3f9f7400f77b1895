//! Slots, queueing and refusals of one server's admission queue.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
    request::{AdmissionDecision, AdmissionQueue, AdmissionRequest},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SEED: u64 = 5;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

#[test]
fn full_queue_evicts_the_least_urgent() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 1);
    let deadline = at(10_000);
    queue.submit(at(0), RequestPriority::NORMAL, deadline, "first", &mut rng);
    let (waits, _) = queue.submit(
        at(0),
        RequestPriority::DEFERRABLE,
        deadline,
        "archive",
        &mut rng,
    );
    assert!(matches!(waits, AdmissionDecision::Wait { .. }));
    let (decision, refused) =
        queue.submit(at(0), RequestPriority::URGENT, deadline, "order", &mut rng);
    assert!(matches!(decision, AdmissionDecision::Wait { .. }));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].item, "archive");
    assert!(refused[0].retry_at > at(0));
    let update = queue.release(at(5), Some(TimeBudget::from_millis(5)), &mut rng);
    assert_eq!(update.started, ["order"]);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 100);
    let priority = RequestPriority::NORMAL;
    queue.submit(at(1), priority, at(1_000), 0, &mut rng);
    let (decision, _) = queue.submit(at(1), priority, at(2), 1, &mut rng);
    let AdmissionDecision::Refuse { retry_at } = decision else {
        panic!("a deadline in 1 ms behind a running request gave {decision:?}");
    };
    assert!(retry_at > at(1));
    let (late, _) = queue.submit(at(5), priority, at(4), 2, &mut rng);
    assert!(matches!(late, AdmissionDecision::Refuse { .. }));
}

#[test]
fn slower_service_refuses_waiting_requests_that_became_too_late() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 10);
    let priority = RequestPriority::NORMAL;
    queue.submit(at(0), priority, at(10_000), 0, &mut rng);
    let (waits, _) = queue.submit(at(0), priority, at(50), 1, &mut rng);
    assert!(matches!(waits, AdmissionDecision::Wait { .. }));
    let update = queue.release(at(45), Some(TimeBudget::from_millis(400)), &mut rng);
    assert!(update.started.is_empty());
    assert_eq!(update.refused[0].item, 1);
}

#[test]
fn random_load_never_exceeds_slots_or_loses_a_request() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let slots = rng.random_range(1..6);
        let mut queue = AdmissionQueue::new(SlotCount::new(slots), rng.random_range(0..8));
        let (mut offered, mut ended, mut running) = (0, 0, 0_u32);
        for step in 0..2_000_u64 {
            let now = at(step);
            if rng.random_bool(0.6) {
                offered += 1;
                let priority = RequestPriority::ALL[rng.random_range(0..3)];
                let deadline = at(step + rng.random_range(0..60));
                let (decision, refused) = queue.submit(now, priority, deadline, step, &mut rng);
                ended += refused.len();
                running += u32::from(decision == AdmissionDecision::Run);
                ended += usize::from(matches!(decision, AdmissionDecision::Refuse { .. }));
            } else if running > 0 {
                let took = TimeBudget::from_millis(rng.random_range(1..20));
                let update = queue.release(now, Some(took), &mut rng);
                ended += 1 + update.refused.len();
                running = running - 1 + update.started.len() as u32;
            }
            assert!(running <= slots, "seed {seed} step {step}");
            assert_eq!(running, queue.running(), "seed {seed} step {step}");
            assert_eq!(
                offered,
                ended + running as usize + queue.waiting(),
                "seed {seed}"
            );
        }
    }
}

fn route(name: &str) -> RouteName {
    name.parse().expect("name is valid")
}

fn request(name: &str, deadline: ClockInstant, soft_deadline: ClockInstant) -> AdmissionRequest {
    AdmissionRequest {
        priority: RequestPriority::NORMAL,
        deadline,
        soft_deadline: Some(soft_deadline),
        account: None,
        route: Some(route(name)),
        is_call: false,
    }
}

#[test]
fn short_request_is_not_judged_by_the_service_time_of_long_ones() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(2), 10);
    let history = request("history", at(4_000), at(2_000));
    for item in 0..2 {
        queue.submit_request(at(0), &history, item, &mut rng);
        let took = TimeBudget::from_millis(280);
        queue.record_route_time(&route("history"), took);
        queue.release(at(1), Some(took), &mut rng);
    }
    queue.record_route_time(&route("lookup"), TimeBudget::from_millis(22));
    for item in 2..4 {
        queue.submit_request(at(1), &history, item, &mut rng);
    }
    let call = request("lookup", at(251), at(251));
    let (decision, _) = queue.submit_request(at(1), &call, 4, &mut rng);
    assert!(
        matches!(decision, AdmissionDecision::Wait { .. }),
        "{decision:?}"
    );
}

#[test]
fn request_waits_no_longer_than_its_soft_deadline_permits() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut queue = AdmissionQueue::new(SlotCount::new(1), 10);
    queue.record_route_time(&route("read"), TimeBudget::from_millis(80));
    let read = request("read", at(1_000), at(300));
    queue.submit_request(at(0), &read, 0, &mut rng);
    let (decision, _) = queue.submit_request(at(0), &read, 1, &mut rng);
    let AdmissionDecision::Wait { queue_deadline, .. } = decision else {
        panic!("a short queue gave {decision:?}");
    };
    assert!(queue_deadline <= at(220), "{queue_deadline}");
    assert!(queue_deadline >= at(100), "{queue_deadline}");
}
