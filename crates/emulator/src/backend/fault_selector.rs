use std::time::Duration;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::backend::{BackendFaults, FaultAction, FaultRule};

/// Combined effect of the fault rules on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SelectedFault {
    pub(crate) delay: Duration,
    pub(crate) action: Option<FaultAction>,
}

/// Selects the faults of each request from the active rules.
#[derive(Debug)]
pub(crate) struct FaultSelector {
    pub(crate) faults: BackendFaults,
    set_at: ClockInstant,
    rng: StdRng,
}

impl FaultSelector {
    pub(crate) fn new(faults: BackendFaults, now: ClockInstant) -> Self {
        Self {
            rng: StdRng::seed_from_u64(faults.seed),
            set_at: now,
            faults,
        }
    }

    /// Evaluates the rules for a request to `path` while `in_flight` requests are in flight.
    pub(crate) fn select(
        &mut self,
        path: &str,
        in_flight: u32,
        now: ClockInstant,
    ) -> SelectedFault {
        let mut selected = SelectedFault::default();
        for rule in &mut self.faults.rules {
            let active_from = self.set_at.after(TimeBudget::from_millis(rule.after_ms));
            let is_affected = active_from.has_passed(now)
                && path.starts_with(&rule.path)
                && in_flight > rule.above
                && rule.next != Some(0)
                && (rule.share >= 1.0 || self.rng.random::<f64>() < rule.share);
            if is_affected {
                apply(rule, &mut selected);
            }
        }
        selected
    }
}

fn apply(rule: &mut FaultRule, selected: &mut SelectedFault) {
    match rule.action {
        FaultAction::Delay(millis) => selected.delay += Duration::from_millis(millis),
        _ if selected.action.is_some() => return,
        action => selected.action = Some(action),
    }
    if let Some(next) = &mut rule.next {
        *next -= 1;
    }
}
