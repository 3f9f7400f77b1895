//! The budget of repeats that all nodes share, and which attempts draw on it.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::AttemptCount,
    request::{AttemptCase, AttemptOutcome, BudgetRule, RetryVerdict, SharedBudget},
};
use expect_test::expect;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const RULE: BudgetRule = BudgetRule {
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
    let mut budgets: Vec<_> = (0..NODES).map(|_| SharedBudget::new(RULE)).collect();
    let (mut fresh, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..SECONDS * 1_000 / STEP_MS {
        let now = step * STEP_MS;
        for budget in &mut budgets {
            if rng.random_bool(0.1) {
                budget.count_fresh(at(now));
                fresh.push(now);
            }
            if rng.random_bool(0.1) && budget.take_repeat(at(now), NODES) {
                repeats.push(now);
            }
            if rng.random_bool(0.000_2) {
                *budget = SharedBudget::new(RULE);
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
    let mut budget = SharedBudget::new(RULE);
    let first = (0..10).filter(|_| budget.take_repeat(at(0), NODES)).count();
    assert!((1..=4).contains(&first), "{first}");
    assert!(!budget.take_repeat(at(5_000), NODES));
    assert!(budget.take_repeat(at(11_000), NODES));
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
            let case = AttemptCase {
                outcome,
                has_arrived,
                idempotent,
                tries: 1,
                arrivals: u32::from(has_arrived),
                max_arrivals: Some(AttemptCount::new(2)),
                deadline: at(1_000),
                failure_share: ShareRatio::NONE,
            };
            let verdict = case.verdict(at(0));
            lines += &format!(
                "{outcome:?} idempotent={idempotent} arrived={has_arrived}: {verdict:?}\n"
            );
        }
    }
    expect![[r#"
        Served idempotent=true arrived=true: Never
        Served idempotent=true arrived=false: Never
        Served idempotent=false arrived=true: Never
        Served idempotent=false arrived=false: Never
        Failed idempotent=true arrived=true: Paid
        Failed idempotent=true arrived=false: Paid
        Failed idempotent=false arrived=true: Never
        Failed idempotent=false arrived=false: Never
        Shed idempotent=true arrived=true: Paid
        Shed idempotent=true arrived=false: Free
        Shed idempotent=false arrived=true: Paid
        Shed idempotent=false arrived=false: Free
        Unreached idempotent=true arrived=true: Paid
        Unreached idempotent=true arrived=false: Free
        Unreached idempotent=false arrived=true: Paid
        Unreached idempotent=false arrived=false: Free
        Lost idempotent=true arrived=true: Paid
        Lost idempotent=true arrived=false: Paid
        Lost idempotent=false arrived=true: Never
        Lost idempotent=false arrived=false: Never
        TimedOut idempotent=true arrived=true: Never
        TimedOut idempotent=true arrived=false: Never
        TimedOut idempotent=false arrived=true: Never
        TimedOut idempotent=false arrived=false: Never
    "#]]
    .assert_eq(&lines);
}

#[test]
fn attempts_end_with_the_route_s_limit_and_with_the_time() {
    let case = AttemptCase {
        outcome: AttemptOutcome::Failed,
        has_arrived: true,
        idempotent: true,
        tries: 2,
        arrivals: 2,
        max_arrivals: Some(AttemptCount::new(2)),
        deadline: at(1_000),
        failure_share: ShareRatio::NONE,
    };
    assert_eq!(case.verdict(at(0)), RetryVerdict::Never);
    let open = AttemptCase {
        max_arrivals: None,
        ..case
    };
    assert_eq!(open.verdict(at(0)), RetryVerdict::Paid);
    assert_eq!(open.verdict(at(999)), RetryVerdict::Never);
}
