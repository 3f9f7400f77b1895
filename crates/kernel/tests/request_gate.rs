//! Slots, queues and refusals of one server's gate.

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
fn full_queue_displaces_the_least_urgent() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = AdmissionQueue::new(SlotCount::new(1), 1);
    let deadline = at(10_000);
    gate.submit(at(0), RequestPriority::NORMAL, deadline, "first", &mut rng);
    let (waits, _) = gate.submit(
        at(0),
        RequestPriority::DEFERRABLE,
        deadline,
        "archive",
        &mut rng,
    );
    assert!(matches!(waits, AdmissionDecision::Wait { .. }));
    let (verdict, refused) =
        gate.submit(at(0), RequestPriority::URGENT, deadline, "order", &mut rng);
    assert!(matches!(verdict, AdmissionDecision::Wait { .. }));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].item, "archive");
    assert!(refused[0].retry_at > at(0));
    let change = gate.release(at(5), Some(TimeBudget::from_millis(5)), &mut rng);
    assert_eq!(change.started, ["order"]);
}

#[test]
fn request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = AdmissionQueue::new(SlotCount::new(1), 100);
    let priority = RequestPriority::NORMAL;
    gate.submit(at(1), priority, at(1_000), 0, &mut rng);
    let (verdict, _) = gate.submit(at(1), priority, at(2), 1, &mut rng);
    let AdmissionDecision::Refuse { retry_at } = verdict else {
        panic!("a deadline in 1 ms behind a running request gave {verdict:?}");
    };
    assert!(retry_at > at(1));
    let (late, _) = gate.submit(at(5), priority, at(4), 2, &mut rng);
    assert!(matches!(late, AdmissionDecision::Refuse { .. }));
}

#[test]
fn slower_service_refuses_waiters_that_became_hopeless() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = AdmissionQueue::new(SlotCount::new(1), 10);
    let priority = RequestPriority::NORMAL;
    gate.submit(at(0), priority, at(10_000), 0, &mut rng);
    let (waits, _) = gate.submit(at(0), priority, at(50), 1, &mut rng);
    assert!(matches!(waits, AdmissionDecision::Wait { .. }));
    let change = gate.release(at(45), Some(TimeBudget::from_millis(400)), &mut rng);
    assert!(change.started.is_empty());
    assert_eq!(change.refused[0].item, 1);
}

#[test]
fn random_load_never_exceeds_slots_or_loses_a_request() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let slots = rng.random_range(1..6);
        let mut gate = AdmissionQueue::new(SlotCount::new(slots), rng.random_range(0..8));
        let (mut offered, mut ended, mut running) = (0, 0, 0_u32);
        for step in 0..2_000_u64 {
            let now = at(step);
            if rng.random_bool(0.6) {
                offered += 1;
                let priority = RequestPriority::ALL[rng.random_range(0..3)];
                let deadline = at(step + rng.random_range(0..60));
                let (verdict, refused) = gate.submit(now, priority, deadline, step, &mut rng);
                ended += refused.len();
                running += u32::from(verdict == AdmissionDecision::Run);
                ended += usize::from(matches!(verdict, AdmissionDecision::Refuse { .. }));
            } else if running > 0 {
                let took = TimeBudget::from_millis(rng.random_range(1..20));
                let change = gate.release(now, Some(took), &mut rng);
                ended += 1 + change.refused.len();
                running = running - 1 + change.started.len() as u32;
            }
            assert!(running <= slots, "seed {seed} step {step}");
            assert_eq!(running, gate.running(), "seed {seed} step {step}");
            assert_eq!(
                offered,
                ended + running as usize + gate.waiting(),
                "seed {seed}"
            );
        }
    }
}

fn route(name: &str) -> RouteName {
    name.parse().expect("is a name")
}

fn offer(name: &str, deadline: ClockInstant, wanted_by: ClockInstant) -> AdmissionRequest {
    AdmissionRequest {
        priority: RequestPriority::NORMAL,
        deadline,
        soft_deadline: Some(wanted_by),
        route: Some(route(name)),
    }
}

#[test]
fn short_call_is_not_judged_by_the_time_of_long_requests() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = AdmissionQueue::new(SlotCount::new(2), 10);
    let history = offer("history", at(4_000), at(2_000));
    for item in 0..2 {
        gate.submit_request(at(0), &history, item, &mut rng);
        let took = TimeBudget::from_millis(280);
        gate.record_route_time(&route("history"), took);
        gate.release(at(1), Some(took), &mut rng);
    }
    gate.record_route_time(&route("lookup"), TimeBudget::from_millis(22));
    for item in 2..4 {
        gate.submit_request(at(1), &history, item, &mut rng);
    }
    let call = offer("lookup", at(251), at(251));
    let (verdict, _) = gate.submit_request(at(1), &call, 4, &mut rng);
    assert!(
        matches!(verdict, AdmissionDecision::Wait { .. }),
        "{verdict:?}"
    );
}

#[test]
fn request_waits_no_longer_than_its_answer_is_wanted() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = AdmissionQueue::new(SlotCount::new(1), 10);
    gate.record_route_time(&route("read"), TimeBudget::from_millis(80));
    let read = offer("read", at(1_000), at(300));
    gate.submit_request(at(0), &read, 0, &mut rng);
    let (verdict, _) = gate.submit_request(at(0), &read, 1, &mut rng);
    let AdmissionDecision::Wait { queue_deadline, .. } = verdict else {
        panic!("a short queue gave {verdict:?}");
    };
    assert!(queue_deadline <= at(220), "{queue_deadline}");
    assert!(queue_deadline >= at(100), "{queue_deadline}");
}
