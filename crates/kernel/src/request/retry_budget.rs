use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    error::RunState,
    request::AttemptOutcome,
};

/// Maximum attempts per request; a fourth server rarely succeeds after three have failed.
const MAX_ATTEMPTS: u32 = 3;
/// Retry tokens deposited per new request, so that retries add at most 10 % to the load.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Tokens that a retry costs after an attempt that may have run.
const RETRY_COST: f64 = 1.0;
/// Tokens that a retry costs after an attempt that did not run, and so used no slot of the server.
const NOT_RUN_RETRY_COST: f64 = 0.25;
/// Initial tokens, which allow a node a few retries before any deposit.
const INITIAL_TOKENS: f64 = 3.0;
/// Maximum tokens, so that a fault after a quiet period does not cause a burst of retries.
const MAX_TOKENS: f64 = 30.0;
/// Failure share above which the whole service is failing, so that retries only add load.
const MAX_FAILURE_SHARE: ShareRatio = ShareRatio::from_ppm(200_000);
/// Remaining time below which another attempt could not finish before the deadline.
const MIN_TIME_LEFT: TimeBudget = TimeBudget::from_millis(1);

/// Input to the retry decision after an attempt if a node's own [`RetryBudget`] limits the retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Outcome of the last attempt.
    pub outcome: AttemptOutcome,
    /// Whether the route is idempotent, so that a request may run more than once.
    pub idempotent: bool,
    /// Number of attempts so far, including the first.
    pub attempts: u32,
    /// Whether the request was caused by a retry at a higher level of a call chain.
    pub is_nested_retry: bool,
    /// Deadline of the request.
    pub deadline: ClockInstant,
    /// Recent share of failed attempts over all servers of the service.
    pub failure_share: ShareRatio,
}

/// Token bucket that limits a node's retries to a share of its new requests.
///
/// A request whose last attempt may have run is not retried while the whole service is failing:
/// another server would fail too, and in a call chain every level would add its own retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Deposits the tokens for one new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Decides whether a request may be retried, and withdraws the tokens if so.
    pub fn try_withdraw(&mut self, now: ClockInstant, context: &RetryContext) -> bool {
        let retry_cost = retry_cost(context.outcome);
        if !is_allowed(now, context) || self.tokens < retry_cost {
            return false;
        }
        self.tokens -= retry_cost;
        true
    }
}

/// Returns the tokens that a retry costs.
///
/// A request that did not run has not used any server's capacity yet, so its retry costs less.
fn retry_cost(outcome: AttemptOutcome) -> f64 {
    match outcome.run_state() {
        RunState::NotRun => NOT_RUN_RETRY_COST,
        _ => RETRY_COST,
    }
}

fn is_allowed(now: ClockInstant, context: &RetryContext) -> bool {
    let has_time = context.deadline > now.after(MIN_TIME_LEFT);
    if !has_time || context.is_nested_retry || context.attempts >= MAX_ATTEMPTS {
        return false;
    }
    match context.outcome {
        AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Abandoned => false,
        outcome if outcome.run_state() == RunState::NotRun => true,
        _ => context.idempotent && context.failure_share <= MAX_FAILURE_SHARE,
    }
}
