//! The adaptive limit of a node on its outstanding requests to one service.

use bronzelb_kernel::{
    clock::ClockInstant,
    ids::SlotCount,
    request::{AdaptiveLimit, AttemptOutcome},
};

const SLOTS: u32 = 36;
const REQUESTS: u64 = 2_000;
/// Interval between two requests; the limit decreases at most once in 10 ms.
const STEP_MS: u64 = 11;

fn simulate(outcomes: &[(AttemptOutcome, bool)]) -> u32 {
    let mut limit = AdaptiveLimit::new(SlotCount::new(SLOTS));
    for number in 0..REQUESTS {
        let now = ClockInstant::from_millis(1_000 + number * STEP_MS);
        for (outcome, is_last) in outcomes {
            limit.record_outcome(now, *outcome, *is_last);
        }
    }
    limit.get().get()
}

#[test]
fn refusals_followed_by_a_successful_retry_do_not_lower_the_limit_below_the_slots() {
    let limit = simulate(&[
        (AttemptOutcome::Shed, false),
        (AttemptOutcome::Shed, false),
        (AttemptOutcome::Served, true),
    ]);
    assert!(limit >= SLOTS, "{limit}");
}

#[test]
fn service_that_refuses_everything_lowers_the_limit() {
    let limit = simulate(&[(AttemptOutcome::Shed, false), (AttemptOutcome::Shed, true)]);
    assert!(limit < SLOTS / 4, "{limit}");
}
