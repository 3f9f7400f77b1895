//! The budget of repeats that all nodes share, and which attempts draw on it.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::AttemptCount,
    request::{
        AttemptContext, AttemptOutcome, RetryBudgetPolicy, RetryDecision, SharedRetryBudget,
    },
};
use expect_test::expect;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const RULE: RetryBudgetPolicy = RetryBudgetPolicy {
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

/// Plays nodes that want to repeat every request and restart now and then; returns the instants
/// of fresh requests and of repeats.
fn play(seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budgets: Vec<_> = (0..NODES).map(|_| SharedRetryBudget::new(RULE)).collect();
    let (mut fresh, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..SECONDS * 1_000 / STEP_MS {
        let now = step * STEP_MS;
        for budget in &mut budgets {
            if rng.random_bool(0.1) {
                budget.count_request(at(now));
                fresh.push(now);
            }
            if rng.random_bool(0.1) && budget.try_take_retry(at(now), NODES) {
                repeats.push(now);
            }
            if rng.random_bool(0.000_2) {
                *budget = SharedRetryBudget::new(RULE);
            }
        }
    }
    (fresh, repeats)
}

#[test]
fn repeats_of_all_nodes_stay_within_the_rule_in_every_window() {
    let window = RULE.window.as_millis();
    for seed in 0..20 {
        let (fresh, repeats) = play(seed);
        for start in (0..SECONDS * 1_000 - window).step_by(100) {
            let inside = |times: &[u64]| {
                let hits = times
                    .iter()
                    .filter(|at| (start..start + window).contains(at));
                hits.count() as f64
            };
            let allowed = RULE.ratio * inside(&fresh) + f64::from(RULE.slack);
            let taken = inside(&repeats);
            assert!(
                taken <= allowed,
                "seed {seed}, from {start} ms: {taken} repeats, {allowed} allowed"
            );
        }
    }
}

#[test]
fn quiet_node_has_a_few_repeats_and_gets_them_back() {
    let mut budget = SharedRetryBudget::new(RULE);
    let first = (0..10)
        .filter(|_| budget.try_take_retry(at(0), NODES))
        .count();
    assert!((1..=4).contains(&first), "{first}");
    assert!(!budget.try_take_retry(at(5_000), NODES));
    assert!(budget.try_take_retry(at(11_000), NODES));
}

#[test]
fn only_attempts_that_reached_a_server_draw_on_the_budget() {
    let mut lines = String::new();
    for outcome in [
        AttemptOutcome::Served,
        AttemptOutcome::Failed,
        AttemptOutcome::Shed,
        AttemptOutcome::Unreached,
        AttemptOutcome::Lost,
        AttemptOutcome::TimedOut,
    ] {
        for (idempotent, has_arrived) in
            [(true, true), (true, false), (false, true), (false, false)]
        {
            let case = AttemptContext {
                outcome,
                was_delivered: has_arrived,
                idempotent,
                nodes_tried: 1,
                deliveries: u32::from(has_arrived),
                max_deliveries: Some(AttemptCount::new(2)),
                deadline: at(1_000),
                failure_share: ShareRatio::NONE,
            };
            let verdict = case.decide(at(0));
            lines += &format!(
                "{outcome:?} idempotent={idempotent} arrived={has_arrived}: {verdict:?}\n"
            );
        }
    }
    expect![[r#"
        Served idempotent=true arrived=true: Denied
        Served idempotent=true arrived=false: Denied
        Served idempotent=false arrived=true: Denied
        Served idempotent=false arrived=false: Denied
        Failed idempotent=true arrived=true: Budgeted
        Failed idempotent=true arrived=false: Budgeted
        Failed idempotent=false arrived=true: Denied
        Failed idempotent=false arrived=false: Denied
        Shed idempotent=true arrived=true: Budgeted
        Shed idempotent=true arrived=false: Free
        Shed idempotent=false arrived=true: Budgeted
        Shed idempotent=false arrived=false: Free
        Unreached idempotent=true arrived=true: Budgeted
        Unreached idempotent=true arrived=false: Free
        Unreached idempotent=false arrived=true: Budgeted
        Unreached idempotent=false arrived=false: Free
        Lost idempotent=true arrived=true: Budgeted
        Lost idempotent=true arrived=false: Budgeted
        Lost idempotent=false arrived=true: Denied
        Lost idempotent=false arrived=false: Denied
        TimedOut idempotent=true arrived=true: Denied
        TimedOut idempotent=true arrived=false: Denied
        TimedOut idempotent=false arrived=true: Denied
        TimedOut idempotent=false arrived=false: Denied
    "#]]
    .assert_eq(&lines);
}

#[test]
fn attempts_end_with_the_route_s_limit_and_with_the_time() {
    let case = AttemptContext {
        outcome: AttemptOutcome::Failed,
        was_delivered: true,
        idempotent: true,
        nodes_tried: 2,
        deliveries: 2,
        max_deliveries: Some(AttemptCount::new(2)),
        deadline: at(1_000),
        failure_share: ShareRatio::NONE,
    };
    assert_eq!(case.decide(at(0)), RetryDecision::Denied);
    let open = AttemptContext {
        max_deliveries: None,
        ..case
    };
    assert_eq!(open.decide(at(0)), RetryDecision::Budgeted);
    assert_eq!(open.decide(at(999)), RetryDecision::Denied);
}
