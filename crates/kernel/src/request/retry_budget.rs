use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    error::RunState,
    request::AttemptOutcome,
};

/// Attempts of one request; a fourth server rarely answers what three could not.
const MAX_ATTEMPTS: u32 = 3;
/// Retries earned by each fresh request: retries add a tenth to the load at most.
const RETRY_SHARE: f64 = 0.1;
/// Price of a retry after an attempt that may have run.
const FULL_PRICE: f64 = 1.0;
/// Price of a retry after an attempt that took none of the server's slots.
const NOT_RUN_PRICE: f64 = 0.25;
/// Retries that a node may make before it has earned any.
const FIRST_TOKENS: f64 = 3.0;
/// Retries saved up at most, so that a fault after a calm time draws no burst.
const MAX_TOKENS: f64 = 30.0;
/// Share of failures above which a service fails as a whole, so that retries only add load.
const MAX_FAILURE_SHARE: ShareRatio = ShareRatio::from_ppm(200_000);
/// Time below which another attempt cannot end.
const MIN_TIME_LEFT: TimeBudget = TimeBudget::from_millis(1);

/// What a node knows when it decides on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// How the last attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the route's requests may run more than once.
    pub idempotent: bool,
    /// Attempts so far, the first one included.
    pub attempts: u32,
    /// Whether the request is itself part of a retry further up a chain of calls.
    pub is_nested_retry: bool,
    /// Deadline of the request.
    pub deadline: ClockInstant,
    /// Recent share of failures over all servers of the service.
    pub failure_share: ShareRatio,
}

/// A node's budget of retries, earned as a share of its fresh requests.
///
/// Retries of requests that ran and failed also stop while the whole service fails: another
/// server would not help, and in a chain of calls every level would add its own retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: FIRST_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Earns a share of a retry for a fresh request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(MAX_TOKENS);
    }

    /// Decides whether a request gets another attempt, and pays for it if so.
    pub fn try_withdraw(&mut self, now: ClockInstant, case: &RetryContext) -> bool {
        let price = price(case.outcome);
        if !is_allowed(now, case) || self.tokens < price {
            return false;
        }
        self.tokens -= price;
        true
    }
}

/// Returns what a retry costs; one of a request that did not run adds no work to any server.
fn price(outcome: AttemptOutcome) -> f64 {
    match outcome.run_state() {
        RunState::NotRun => NOT_RUN_PRICE,
        _ => FULL_PRICE,
    }
}

fn is_allowed(now: ClockInstant, case: &RetryContext) -> bool {
    let has_time = case.deadline > now.after(MIN_TIME_LEFT);
    if !has_time || case.is_nested_retry || case.attempts >= MAX_ATTEMPTS {
        return false;
    }
    match case.outcome {
        AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Abandoned => false,
        outcome if outcome.run_state() == RunState::NotRun => true,
        _ => case.idempotent && case.failure_share <= MAX_FAILURE_SHARE,
    }
}
