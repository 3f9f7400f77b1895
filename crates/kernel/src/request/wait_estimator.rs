use std::collections::BTreeMap;

use crate::{clock::TimeBudget, ids::RouteName};

/// Estimates how long a caller has already waited, from the timeouts that callers announce.
///
/// Callers of one route start with the same timeout. A caller that retries after a refusal has used
/// a part of it and announces less, so the difference from the longest announced timeout is the
/// time it has waited. Its response is due sooner than that of a caller at its first attempt.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    longest_timeouts: BTreeMap<RouteName, TimeBudget>,
}

impl WaitEstimator {
    /// Records a caller's remaining timeout and returns the time it is estimated to have waited.
    ///
    /// The estimate is zero for the first caller of a route and for the longest timeout seen.
    pub fn record_timeout(&mut self, route: &RouteName, timeout: TimeBudget) -> TimeBudget {
        if let Some(longest_timeout) = self.longest_timeouts.get_mut(route) {
            *longest_timeout = timeout.max(*longest_timeout);
            return timeout.shortfall_from(*longest_timeout);
        }
        self.longest_timeouts.insert(route.clone(), timeout);
        TimeBudget::ZERO
    }
}
