use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    error::RunState,
    ids::AttemptCount,
    request::AttemptOutcome,
};

/// Nodes that a request is offered to; each refusal by one costs a round trip between nodes.
const MAX_TRIES: u32 = 4;
/// Time below which another server cannot answer.
const MIN_TIME_LEFT: TimeBudget = TimeBudget::from_millis(5);
/// Share of failures above which a service fails as a whole, so that another server would too.
const MAX_FAILURE_SHARE: ShareRatio = ShareRatio::from_ppm(500_000);

/// What a node knows after an attempt, when the mesh shares a budget of repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptContext {
    /// How the last attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the last attempt reached a backend server.
    pub was_delivered: bool,
    /// Whether the route's requests may run more than once.
    pub idempotent: bool,
    /// Nodes that the request was offered to so far.
    pub nodes_tried: u32,
    /// Attempts so far that reached a backend server.
    pub deliveries: u32,
    /// Most backend servers that the request may be sent to.
    pub max_deliveries: Option<AttemptCount>,
    /// Deadline of the request.
    pub deadline: ClockInstant,
    /// Recent share of failures over all servers of the service.
    pub failure_share: ShareRatio,
}

/// Whether a request gets another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It gets none.
    Denied,
    /// It gets one that repeats nothing, since no backend server has seen the request.
    Free,
    /// It gets one if the shared budget has a repeat left.
    Budgeted,
}

impl AttemptContext {
    /// Decides whether the request gets another attempt.
    #[must_use]
    pub fn decide(&self, now: ClockInstant) -> RetryDecision {
        let has_time = self.deadline > now.after(MIN_TIME_LEFT);
        if !has_time || self.nodes_tried >= MAX_TRIES {
            return RetryDecision::Denied;
        }
        let run_state = self.outcome.run_state();
        if run_state == RunState::NotRun && !self.was_delivered && self.deliveries == 0 {
            return RetryDecision::Free;
        }
        let is_used_up = self
            .max_deliveries
            .is_some_and(|most| self.deliveries >= most.get());
        let may_repeat = match self.outcome {
            AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Abandoned => false,
            _ if run_state == RunState::NotRun => true,
            _ => self.idempotent && self.failure_share <= MAX_FAILURE_SHARE,
        };
        match may_repeat && !is_used_up {
            true => RetryDecision::Budgeted,
            false => RetryDecision::Denied,
        }
    }
}
