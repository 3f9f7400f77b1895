use std::collections::VecDeque;

use crate::clock::{ClockInstant, TimeBudget};

/// Slices per window; an event stays counted for at most one slice longer than the window.
const SLICES_PER_WINDOW: u64 = 20;
/// Share of the mesh's budget that nodes spend on their own retries.
///
/// The rest covers the calls that retried requests make in turn, which count as retries of the
/// called services.
const OWN_RETRY_SHARE: f64 = 0.4;

/// Mesh-wide limit on the retries of each service, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries allowed per new request.
    pub ratio: f64,
    /// Window over which requests and retries are counted; the limit holds for any such span.
    pub window: TimeBudget,
    /// Additional retries allowed per window, summed over all nodes.
    pub slack: u32,
}

/// One node's share of a [`RetryPolicy`] for one service.
///
/// A node may retry in proportion to its own new requests, plus an equal share of the slack. The
/// sum over all nodes therefore stays within the policy without communication between them.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    policy: RetryPolicy,
    slices: VecDeque<BudgetSlice>,
}

#[derive(Clone, Copy, Debug)]
struct BudgetSlice {
    ends_at: ClockInstant,
    requests: u32,
    retries: u32,
}

impl SharedBudget {
    /// Creates the budget of a node that has not counted any request yet.
    #[must_use]
    pub const fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            slices: VecDeque::new(),
        }
    }

    /// Counts a new request.
    pub fn count_request(&mut self, now: ClockInstant) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry from the budget and returns true if one is left; `nodes` nodes share the
    /// slack.
    pub fn try_take_retry(&mut self, now: ClockInstant, nodes: usize) -> bool {
        self.remove_expired(now);
        let (requests, retries) = self
            .slices
            .iter()
            .fold((0, 0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            });
        let slack = f64::from(self.policy.slack) / nodes.max(1) as f64;
        let allowed = (self.policy.ratio * f64::from(requests) + slack) * OWN_RETRY_SHARE;
        let is_allowed = f64::from(retries + 1) <= allowed;
        if is_allowed {
            self.current_slice(now).retries += 1;
        }
        is_allowed
    }

    fn current_slice(&mut self, now: ClockInstant) -> &mut BudgetSlice {
        self.remove_expired(now);
        let is_over = |slice: &BudgetSlice| slice.ends_at.has_passed(now);
        if self.slices.back().is_none_or(is_over) {
            let length =
                TimeBudget::from_micros(self.policy.window.as_micros() / SLICES_PER_WINDOW);
            self.slices.push_back(BudgetSlice {
                ends_at: now.after(length),
                requests: 0,
                retries: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    fn remove_expired(&mut self, now: ClockInstant) {
        let window = self.policy.window;
        while let Some(first) = self.slices.front()
            && first.ends_at.after(window).has_passed(now)
        {
            self.slices.pop_front();
        }
    }
}
