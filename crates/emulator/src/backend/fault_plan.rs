use std::time::Duration;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::backend::{BackendFaults, FaultAction, FaultRule};

/// Combined effect of the fault rules on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) delay: Duration,
    pub(crate) action: Option<FaultAction>,
}

/// The active faults and the state of their random number generator.
#[derive(Debug)]
pub(crate) struct FaultPlan {
    pub(crate) faults: BackendFaults,
    set_at: ClockInstant,
    rng: StdRng,
}

impl FaultPlan {
    pub(crate) fn new(faults: BackendFaults, now: ClockInstant) -> Self {
        Self {
            rng: StdRng::seed_from_u64(faults.seed),
            set_at: now,
            faults,
        }
    }

    /// Evaluates the rules for a request to `path` while `in_flight` requests are in flight.
    pub(crate) fn plan(&mut self, path: &str, in_flight: u32, now: ClockInstant) -> PlannedFault {
        let mut planned = PlannedFault::default();
        for rule in &mut self.faults.rules {
            let active_from = self.set_at.after(TimeBudget::from_millis(rule.after_ms));
            let is_affected = active_from.has_passed(now)
                && path.starts_with(&rule.path)
                && in_flight > rule.above
                && rule.next != Some(0)
                && (rule.share >= 1.0 || self.rng.random::<f64>() < rule.share);
            if is_affected {
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
