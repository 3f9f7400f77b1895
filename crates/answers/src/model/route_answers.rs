use bronzelb_kernel::{
    clock::TimeBudget,
    config::{RequestPriority, RouteObjective, ShareRatio},
    ids::ByteCount,
};

use crate::defaults;

/// Answers about a route that the `defaults` block may also hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteAnswers {
    pub(crate) priority: Option<RequestPriority>,
    pub(crate) timeout: Option<TimeBudget>,
    pub(crate) max_body: Option<ByteCount>,
    pub(crate) objective: ObjectiveAnswers,
}

/// Answers about a route's service-level objective.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObjectiveAnswers {
    pub(crate) success: Option<ShareRatio>,
    pub(crate) latency: Option<TimeBudget>,
}

impl RouteAnswers {
    /// Fills missing answers from the file's `defaults` block, then from the built-in defaults.
    pub(crate) fn resolve(self, fallback: &Self) -> ResolvedRoute {
        let objective = self.objective.resolve(&fallback.objective);
        ResolvedRoute {
            priority: self
                .priority
                .or(fallback.priority)
                .unwrap_or(defaults::PRIORITY),
            timeout: self
                .timeout
                .or(fallback.timeout)
                .unwrap_or(defaults::TIMEOUT),
            max_body: self
                .max_body
                .or(fallback.max_body)
                .unwrap_or(defaults::MAX_BODY),
            objective,
        }
    }
}

impl ObjectiveAnswers {
    fn resolve(self, fallback: &Self) -> RouteObjective {
        RouteObjective {
            success: self
                .success
                .or(fallback.success)
                .unwrap_or(defaults::SUCCESS),
            latency: self
                .latency
                .or(fallback.latency)
                .unwrap_or(defaults::LATENCY),
        }
    }
}

/// The optional answers about a route with all defaults applied.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedRoute {
    pub(crate) priority: RequestPriority,
    pub(crate) timeout: TimeBudget,
    pub(crate) max_body: ByteCount,
    pub(crate) objective: RouteObjective,
}
