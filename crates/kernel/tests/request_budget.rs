//! The retry budget that all nodes share, and which attempts count against it.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::AttemptCount,
    request::{AttemptContext, AttemptOutcome, RetryDecision, RetryPolicy, SharedBudget},
};
use expect_test::expect;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const POLICY: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    window: TimeBudget::from_secs(10),
    slack: 56,
};
const NODES: usize = 12;
const SECONDS: u64 = 60;
const STEP_MS: u64 = 10;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

/// Simulates nodes that try to retry every request and occasionally restart; returns the instants
/// of new requests and of retries.
fn simulate(seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budgets: Vec<_> = (0..NODES).map(|_| SharedBudget::new(POLICY)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..SECONDS * 1_000 / STEP_MS {
        let now = step * STEP_MS;
        for budget in &mut budgets {
            if rng.random_bool(0.1) {
                budget.count_request(at(now));
                requests.push(now);
            }
            if rng.random_bool(0.1) && budget.try_take_retry(at(now), NODES) {
                retries.push(now);
            }
            if rng.random_bool(0.000_2) {
                *budget = SharedBudget::new(POLICY);
            }
        }
    }
    (requests, retries)
}

#[test]
fn retries_of_all_nodes_stay_within_the_policy_in_every_window() {
    let window = POLICY.window.as_millis();
    for seed in 0..20 {
        let (requests, retries) = simulate(seed);
        for start in (0..SECONDS * 1_000 - window).step_by(100) {
            let inside = |times: &[u64]| {
                let hits = times
                    .iter()
                    .filter(|at| (start..start + window).contains(at));
                hits.count() as f64
            };
            let allowed = POLICY.ratio * inside(&requests) + f64::from(POLICY.slack);
            let taken = inside(&retries);
            assert!(
                taken <= allowed,
                "seed {seed}, from {start} ms: {taken} retries, {allowed} allowed"
            );
        }
    }
}

#[test]
fn idle_node_has_a_few_retries_and_regains_them() {
    let mut budget = SharedBudget::new(POLICY);
    let first = (0..10)
        .filter(|_| budget.try_take_retry(at(0), NODES))
        .count();
    assert!((1..=4).contains(&first), "{first}");
    assert!(!budget.try_take_retry(at(5_000), NODES));
    assert!(budget.try_take_retry(at(11_000), NODES));
}

#[test]
fn only_retries_of_possibly_delivered_requests_use_the_budget() {
    let mut lines = String::new();
    for outcome in [
        AttemptOutcome::Served,
        AttemptOutcome::Failed,
        AttemptOutcome::Shed,
        AttemptOutcome::Unreached,
        AttemptOutcome::Lost,
        AttemptOutcome::TimedOut,
    ] {
        for (idempotent, was_delivered) in
            [(true, true), (true, false), (false, true), (false, false)]
        {
            let context = AttemptContext {
                outcome,
                was_delivered,
                idempotent,
                nodes_tried: 1,
                deliveries: u32::from(was_delivered),
                max_deliveries: Some(AttemptCount::new(2)),
                deadline: at(1_000),
                failure_share: ShareRatio::NONE,
            };
            let decision = context.decide(at(0));
            lines += &format!(
                "{outcome:?} idempotent={idempotent} delivered={was_delivered}: {decision:?}\n"
            );
        }
    }
    expect![[r#"
        Served idempotent=true delivered=true: Denied
        Served idempotent=true delivered=false: Denied
        Served idempotent=false delivered=true: Denied
        Served idempotent=false delivered=false: Denied
        Failed idempotent=true delivered=true: Budgeted
        Failed idempotent=true delivered=false: Budgeted
        Failed idempotent=false delivered=true: Denied
        Failed idempotent=false delivered=false: Denied
        Shed idempotent=true delivered=true: Budgeted
        Shed idempotent=true delivered=false: Free
        Shed idempotent=false delivered=true: Budgeted
        Shed idempotent=false delivered=false: Free
        Unreached idempotent=true delivered=true: Budgeted
        Unreached idempotent=true delivered=false: Free
        Unreached idempotent=false delivered=true: Budgeted
        Unreached idempotent=false delivered=false: Free
        Lost idempotent=true delivered=true: Budgeted
        Lost idempotent=true delivered=false: Budgeted
        Lost idempotent=false delivered=true: Denied
        Lost idempotent=false delivered=false: Denied
        TimedOut idempotent=true delivered=true: Denied
        TimedOut idempotent=true delivered=false: Denied
        TimedOut idempotent=false delivered=true: Denied
        TimedOut idempotent=false delivered=false: Denied
    "#]]
    .assert_eq(&lines);
}

#[test]
fn retries_stop_at_the_delivery_limit_and_near_the_deadline() {
    let context = AttemptContext {
        outcome: AttemptOutcome::Failed,
        was_delivered: true,
        idempotent: true,
        nodes_tried: 2,
        deliveries: 2,
        max_deliveries: Some(AttemptCount::new(2)),
        deadline: at(1_000),
        failure_share: ShareRatio::NONE,
    };
    assert_eq!(context.decide(at(0)), RetryDecision::Denied);
    let unlimited = AttemptContext {
        max_deliveries: None,
        ..context
    };
    assert_eq!(unlimited.decide(at(0)), RetryDecision::Budgeted);
    assert_eq!(unlimited.decide(at(999)), RetryDecision::Denied);
}
