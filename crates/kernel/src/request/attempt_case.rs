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
pub struct AttemptCase {
    /// How the last attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the last attempt reached a backend server.
    pub has_arrived: bool,
    /// Whether the route's requests may run more than once.
    pub idempotent: bool,
    /// Nodes that the request was offered to so far.
    pub tries: u32,
    /// Attempts so far that reached a backend server.
    pub arrivals: u32,
    /// Most backend servers that the request may be sent to.
    pub max_arrivals: Option<AttemptCount>,
    /// Deadline of the request.
    pub deadline: ClockInstant,
    /// Recent share of failures over all servers of the service.
    pub failure_share: ShareRatio,
}

/// Whether a request gets another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// It gets none.
    Never,
    /// It gets one that repeats nothing, since no backend server has seen the request.
    Free,
    /// It gets one if the shared budget has a repeat left.
    Paid,
}

impl AttemptCase {
    /// Decides whether the request gets another attempt.
    #[must_use]
    pub fn verdict(&self, now: ClockInstant) -> RetryVerdict {
        let has_time = self.deadline > now.after(MIN_TIME_LEFT);
        if !has_time || self.tries >= MAX_TRIES {
            return RetryVerdict::Never;
        }
        let run_state = self.outcome.run_state();
        if run_state == RunState::NotRun && !self.has_arrived && self.arrivals == 0 {
            return RetryVerdict::Free;
        }
        let is_used_up = self
            .max_arrivals
            .is_some_and(|most| self.arrivals >= most.get());
        let may_repeat = match self.outcome {
            AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Abandoned => false,
            _ if run_state == RunState::NotRun => true,
            _ => self.idempotent && self.failure_share <= MAX_FAILURE_SHARE,
        };
        match may_repeat && !is_used_up {
            true => RetryVerdict::Paid,
            false => RetryVerdict::Never,
        }
    }
}
