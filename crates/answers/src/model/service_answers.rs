use bronzelb_kernel::{
    clock::TimeBudget,
    config::{RolloutRule, ServiceSpec, ShareRatio},
    ids::{CrewName, SlotCount},
};
use compact_str::CompactString;

use crate::defaults;

/// Answers about a service, or about all services in the `defaults` block.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceAnswers {
    pub(crate) crew: Option<CrewName>,
    pub(crate) slots: Option<SlotCount>,
    pub(crate) connections: Option<u32>,
    pub(crate) report_format: Option<CompactString>,
    pub(crate) slow_start: Option<TimeBudget>,
    pub(crate) drain: Option<TimeBudget>,
    pub(crate) rollout: RolloutAnswers,
}

/// Answers about the version moves of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutAnswers {
    pub(crate) first_share: Option<ShareRatio>,
    pub(crate) min_requests: Option<u32>,
    pub(crate) hold: Option<TimeBudget>,
}

impl ServiceAnswers {
    /// Fills missing answers from the file's `defaults` block.
    pub(crate) fn or(self, fallback: &Self) -> Self {
        Self {
            crew: self.crew.or_else(|| fallback.crew.clone()),
            slots: self.slots.or(fallback.slots),
            connections: self.connections.or(fallback.connections),
            report_format: self
                .report_format
                .or_else(|| fallback.report_format.clone()),
            slow_start: self.slow_start.or(fallback.slow_start),
            drain: self.drain.or(fallback.drain),
            rollout: self.rollout.or(&fallback.rollout),
        }
    }

    /// Fills the remaining missing answers from the built-in defaults.
    ///
    /// An answer without a default becomes a placeholder that passes all checks; the reader has
    /// already reported it as missing.
    pub(crate) fn into_spec(self) -> ServiceSpec {
        ServiceSpec {
            crew: self.crew,
            slots: self.slots.unwrap_or(SlotCount::new(1)),
            connections: self.connections.unwrap_or(1),
            report_format: self.report_format.unwrap_or_default(),
            slow_start: self.slow_start.unwrap_or(defaults::SLOW_START),
            drain: self.drain.unwrap_or(defaults::DRAIN),
            rollout: self.rollout.into_rule(),
            warm_up: None,
            health_path: None,
        }
    }
}

impl RolloutAnswers {
    fn or(self, fallback: &Self) -> Self {
        Self {
            first_share: self.first_share.or(fallback.first_share),
            min_requests: self.min_requests.or(fallback.min_requests),
            hold: self.hold.or(fallback.hold),
        }
    }

    fn into_rule(self) -> RolloutRule {
        RolloutRule {
            first_share: self.first_share.unwrap_or(defaults::FIRST_SHARE),
            min_requests: self.min_requests.unwrap_or(defaults::MIN_REQUESTS),
            hold: self.hold.unwrap_or(defaults::HOLD),
        }
    }
}
