use std::time::Duration;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::backend::{BackendFaults, FaultAction, FaultRule};

/// What the faults have in store for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) delay: Duration,
    pub(crate) action: Option<FaultAction>,
}

/// The faults in force, with their random sequence.
#[derive(Debug)]
pub(crate) struct FaultPlan {
    pub(crate) faults: BackendFaults,
    set_at: ClockInstant,
    random: StdRng,
}

impl FaultPlan {
    pub(crate) fn new(faults: BackendFaults, now: ClockInstant) -> Self {
        Self {
            random: StdRng::seed_from_u64(faults.seed),
            set_at: now,
            faults,
        }
    }

    /// Draws the fault of a request to `path` while `in_flight` requests are in flight.
    pub(crate) fn draw(&mut self, path: &str, in_flight: u32, now: ClockInstant) -> PlannedFault {
        let mut planned = PlannedFault::default();
        for rule in &mut self.faults.rules {
            let starts_at = self.set_at.after(TimeBudget::from_millis(rule.after_ms));
            let is_matched = starts_at.has_passed(now)
                && path.starts_with(&rule.path)
                && in_flight > rule.above
                && rule.next != Some(0)
                && (rule.share >= 1.0 || self.random.random::<f64>() < rule.share);
            if is_matched {
                apply(rule, &mut planned);
            }
        }
        planned
    }
}

fn apply(rule: &mut FaultRule, planned: &mut PlannedFault) {
    match rule.action {
        FaultAction::Delay(millis) => planned.delay += Duration::from_millis(millis),
        _ if planned.action.is_some() => return,
        action => planned.action = Some(action),
    }
    if let Some(next) = &mut rule.next {
        *next -= 1;
    }
}
