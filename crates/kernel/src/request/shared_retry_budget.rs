use std::collections::VecDeque;

use crate::clock::{ClockInstant, TimeBudget};

/// Slices into which the window is cut; an event counts for at most one slice too long.
const SLICES: u64 = 20;
/// Part of the mesh's budget that nodes use by themselves. The rest covers the calls that repeated
/// runs make in turn, which count as repeats of the services called.
const USED_PART: f64 = 0.4;

/// Limit on repeats that all nodes of a mesh keep together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Repeats for each fresh request.
    pub ratio: f64,
    /// Time over which both are counted; any span of this length counts.
    pub window: TimeBudget,
    /// Repeats that are allowed besides, summed over all nodes.
    pub slack: u32,
}

/// One node's part in a [`RetryBudgetPolicy`] for one service.
///
/// A node earns repeats by its own fresh requests and has an equal part of the slack, so that the
/// sum over all nodes stays within the rule without a word between them.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    rule: RetryBudgetPolicy,
    slices: VecDeque<BudgetSlice>,
}

#[derive(Clone, Copy, Debug)]
struct BudgetSlice {
    ends_at: ClockInstant,
    fresh: u32,
    repeats: u32,
}

impl SharedRetryBudget {
    /// Builds the part of a node that has seen nothing.
    #[must_use]
    pub const fn new(rule: RetryBudgetPolicy) -> Self {
        Self {
            rule,
            slices: VecDeque::new(),
        }
    }

    /// Counts a fresh request.
    pub fn count_request(&mut self, now: ClockInstant) {
        self.slice(now).fresh += 1;
    }

    /// Takes one repeat if the budget has it; `nodes` share the slack.
    pub fn try_take_retry(&mut self, now: ClockInstant, nodes: usize) -> bool {
        self.forget(now);
        let (fresh, repeats) = self.slices.iter().fold((0, 0), |(fresh, repeats), slice| {
            (fresh + slice.fresh, repeats + slice.repeats)
        });
        let slack = f64::from(self.rule.slack) / nodes.max(1) as f64;
        let allowed = (self.rule.ratio * f64::from(fresh) + slack) * USED_PART;
        let has_room = f64::from(repeats + 1) <= allowed;
        if has_room {
            self.slice(now).repeats += 1;
        }
        has_room
    }

    fn slice(&mut self, now: ClockInstant) -> &mut BudgetSlice {
        self.forget(now);
        let is_over = |slice: &BudgetSlice| slice.ends_at.has_passed(now);
        if self.slices.back().is_none_or(is_over) {
            let length = TimeBudget::from_micros(self.rule.window.as_micros() / SLICES);
            self.slices.push_back(BudgetSlice {
                ends_at: now.after(length),
                fresh: 0,
                repeats: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    fn forget(&mut self, now: ClockInstant) {
        let window = self.rule.window;
        while let Some(first) = self.slices.front()
            && first.ends_at.after(window).has_passed(now)
        {
            self.slices.pop_front();
        }
    }
}
