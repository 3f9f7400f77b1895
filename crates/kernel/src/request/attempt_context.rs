use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    error::RunState,
    ids::AttemptCount,
    request::AttemptOutcome,
};

/// Maximum number of nodes that a request is sent to; each refusal costs a round trip between
/// nodes.
const MAX_NODES_TRIED: u32 = 4;
/// Remaining time below which another server could not respond before the deadline.
const MIN_TIME_LEFT: TimeBudget = TimeBudget::from_millis(5);
/// Failure share above which the whole service is failing, so that another server would fail too.
const MAX_FAILURE_SHARE: ShareRatio = ShareRatio::from_ppm(500_000);

/// Input to the retry decision after an attempt if a [`SharedBudget`] limits the retries.
///
/// [`RetryContext`] is its counterpart for a node's own budget.
///
/// [`RetryContext`]: crate::request::RetryContext
/// [`SharedBudget`]: crate::request::SharedBudget
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptContext {
    /// Outcome of the last attempt.
    pub outcome: AttemptOutcome,
    /// Whether the last attempt was delivered to a backend server.
    pub was_delivered: bool,
    /// Whether the route is idempotent, so that a request may run more than once.
    pub idempotent: bool,
    /// Number of nodes that the request has been sent to so far.
    pub nodes_tried: u32,
    /// Number of attempts so far that were delivered to a backend server.
    pub deliveries: u32,
    /// Maximum number of deliveries to backend servers; `None` means no limit.
    pub max_deliveries: Option<AttemptCount>,
    /// Deadline of the request.
    pub deadline: ClockInstant,
    /// Recent share of failed attempts over all servers of the service.
    pub failure_share: ShareRatio,
}

/// Whether a request may be retried, and whether the retry counts against the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is not retried.
    Denied,
    /// The request is retried without using the budget, since no backend server has received it.
    Free,
    /// The request is retried if the shared budget has a retry left.
    Budgeted,
}

impl AttemptContext {
    /// Decides whether the request may be retried.
    #[must_use]
    pub fn decide(&self, now: ClockInstant) -> RetryDecision {
        let has_time = self.deadline > now.after(MIN_TIME_LEFT);
        if !has_time || self.nodes_tried >= MAX_NODES_TRIED {
            return RetryDecision::Denied;
        }
        let run_state = self.outcome.run_state();
        if run_state == RunState::NotRun && !self.was_delivered && self.deliveries == 0 {
            return RetryDecision::Free;
        }
        let is_delivery_limit_reached = self
            .max_deliveries
            .is_some_and(|max| self.deliveries >= max.get());
        let is_retryable = match self.outcome {
            AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Abandoned => false,
            _ if run_state == RunState::NotRun => true,
            _ => self.idempotent && self.failure_share <= MAX_FAILURE_SHARE,
        };
        match is_retryable && !is_delivery_limit_reached {
            true => RetryDecision::Budgeted,
            false => RetryDecision::Denied,
        }
    }
}
