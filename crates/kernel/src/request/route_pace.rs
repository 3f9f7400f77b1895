use std::collections::BTreeMap;

use crate::{clock::TimeBudget, ids::RouteName};

/// Weight of one request in a route's usual time: about the last twenty count.
const MEAN_WEIGHT: f64 = 0.05;
/// Least and most that one request says about its server's pace.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 10.0);

/// The time that requests of each route usually take, over all servers.
///
/// Routes of one service differ in their work, so that a server's pace shows only against them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutePace {
    means: BTreeMap<RouteName, f64>,
}

impl RoutePace {
    /// Takes in a request's time and returns it against the route's usual one.
    pub(crate) fn observe(&mut self, route: &RouteName, took: TimeBudget) -> f64 {
        let micros = (took.as_micros() as f64).max(1.0);
        let Some(mean) = self.means.get_mut(route) else {
            self.means.insert(route.clone(), micros);
            return 1.0;
        };
        let (least, most) = SLOWNESS_RANGE;
        let slowness = (micros / *mean).clamp(least, most);
        *mean += MEAN_WEIGHT * (micros - *mean);
        slowness
    }

    /// Returns the usual time of a route's requests, in microseconds, once one has been seen.
    pub(crate) fn usual_micros(&self, route: &RouteName) -> Option<f64> {
        self.means.get(route).copied()
    }
}
