//! Slots, queues and refusals of one server's gate.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
    request::{GateVerdict, SlotGate, SlotOffer},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SEED: u64 = 5;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

#[test]
fn full_queue_displaces_the_least_urgent() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = SlotGate::new(SlotCount::new(1), 1);
    let deadline = at(10_000);
    gate.offer(at(0), RequestPriority::NORMAL, deadline, "first", &mut rng);
    let (waits, _) = gate.offer(
        at(0),
        RequestPriority::DEFERRABLE,
        deadline,
        "archive",
        &mut rng,
    );
    assert!(matches!(waits, GateVerdict::Wait { .. }));
    let (verdict, refused) =
        gate.offer(at(0), RequestPriority::URGENT, deadline, "order", &mut rng);
    assert!(matches!(verdict, GateVerdict::Wait { .. }));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].item, "archive");
    assert!(refused[0].retry_at > at(0));
    let change = gate.release(at(5), Some(TimeBudget::from_millis(5)), &mut rng);
    assert_eq!(change.started, ["order"]);
}

#[test]
fn request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = SlotGate::new(SlotCount::new(1), 100);
    let priority = RequestPriority::NORMAL;
    gate.offer(at(1), priority, at(1_000), 0, &mut rng);
    let (verdict, _) = gate.offer(at(1), priority, at(2), 1, &mut rng);
    let GateVerdict::Refuse { retry_at } = verdict else {
        panic!("a deadline in 1 ms behind a running request gave {verdict:?}");
    };
    assert!(retry_at > at(1));
    let (late, _) = gate.offer(at(5), priority, at(4), 2, &mut rng);
    assert!(matches!(late, GateVerdict::Refuse { .. }));
}

#[test]
fn slower_service_refuses_waiters_that_became_hopeless() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = SlotGate::new(SlotCount::new(1), 10);
    let priority = RequestPriority::NORMAL;
    gate.offer(at(0), priority, at(10_000), 0, &mut rng);
    let (waits, _) = gate.offer(at(0), priority, at(50), 1, &mut rng);
    assert!(matches!(waits, GateVerdict::Wait { .. }));
    let change = gate.release(at(45), Some(TimeBudget::from_millis(400)), &mut rng);
    assert!(change.started.is_empty());
    assert_eq!(change.refused[0].item, 1);
}

#[test]
fn random_load_never_exceeds_slots_or_loses_a_request() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let slots = rng.random_range(1..6);
        let mut gate = SlotGate::new(SlotCount::new(slots), rng.random_range(0..8));
        let (mut offered, mut ended, mut running) = (0, 0, 0_u32);
        for step in 0..2_000_u64 {
            let now = at(step);
            if rng.random_bool(0.6) {
                offered += 1;
                let priority = RequestPriority::ALL[rng.random_range(0..3)];
                let deadline = at(step + rng.random_range(0..60));
                let (verdict, refused) = gate.offer(now, priority, deadline, step, &mut rng);
                ended += refused.len();
                running += u32::from(verdict == GateVerdict::Run);
                ended += usize::from(matches!(verdict, GateVerdict::Refuse { .. }));
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

fn offer(name: &str, deadline: ClockInstant, wanted_by: ClockInstant) -> SlotOffer {
    SlotOffer {
        priority: RequestPriority::NORMAL,
        deadline,
        wanted_by: Some(wanted_by),
        route: Some(route(name)),
    }
}

#[test]
fn short_call_is_not_judged_by_the_time_of_long_requests() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = SlotGate::new(SlotCount::new(2), 10);
    let history = offer("history", at(4_000), at(2_000));
    for item in 0..2 {
        gate.offer_work(at(0), &history, item, &mut rng);
        let took = TimeBudget::from_millis(280);
        gate.learn_route(&route("history"), took);
        gate.release(at(1), Some(took), &mut rng);
    }
    gate.learn_route(&route("lookup"), TimeBudget::from_millis(22));
    for item in 2..4 {
        gate.offer_work(at(1), &history, item, &mut rng);
    }
    let call = offer("lookup", at(251), at(251));
    let (verdict, _) = gate.offer_work(at(1), &call, 4, &mut rng);
    assert!(matches!(verdict, GateVerdict::Wait { .. }), "{verdict:?}");
}

#[test]
fn request_waits_no_longer_than_its_answer_is_wanted() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = SlotGate::new(SlotCount::new(1), 10);
    gate.learn_route(&route("read"), TimeBudget::from_millis(80));
    let read = offer("read", at(1_000), at(300));
    gate.offer_work(at(0), &read, 0, &mut rng);
    let (verdict, _) = gate.offer_work(at(0), &read, 1, &mut rng);
    let GateVerdict::Wait { give_up_at, .. } = verdict else {
        panic!("a short queue gave {verdict:?}");
    };
    assert!(give_up_at <= at(220), "{give_up_at}");
    assert!(give_up_at >= at(100), "{give_up_at}");
}
