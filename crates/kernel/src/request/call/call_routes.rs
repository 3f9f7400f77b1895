use std::collections::BTreeMap;

use crate::ids::{RouteName, ServiceName};

/// Requests of a route that are expected from origins from which none came. By chance none comes
/// once in 3,000 times.
const MIN_MISSING_REQUESTS: f64 = 8.0;
/// Number of requests at which the counts of a route are halved, so that they follow a change.
const MAX_REQUESTS: u32 = 1_024;
/// Routes, and origins of each, that are counted; requests of others are not judged.
const MAX_ROUTES: usize = 1_024;
const MAX_ORIGINS: usize = 256;
/// Divisor of a route's requests that gives those that may contradict the judgement: a node that
/// has restarted does not know the runs that began before.
const EXCEPTION_DIVISOR: u32 = 16;

/// Routes that only runs of other services use, by the requests that a node has passed on.
///
/// Callers of a mesh sit beside the servers of several services and send requests of every route
/// from each. A call enters only beside the services that make it, and only while the server there
/// is running a request that may have made it. Where all requests have the same origin, the two
/// cannot be told apart and no route is judged.
#[derive(Clone, Debug, Default)]
pub struct CallRoutes {
    routes: BTreeMap<RouteName, OriginCounts>,
    /// Requests of all routes, by the service beside which they entered.
    all: BTreeMap<ServiceName, u32>,
}

/// Requests of one route.
#[derive(Clone, Debug, Default)]
struct OriginCounts {
    requests: u32,
    by_origin: BTreeMap<ServiceName, u32>,
    /// Requests that no run may have made.
    exceptions: u32,
}

impl CallRoutes {
    /// Records a request that entered beside a server of `origin`; `may_be_call` tells whether a run
    /// there may have made it.
    pub fn record(&mut self, route: &RouteName, origin: &ServiceName, may_be_call: bool) {
        count(&mut self.all, origin);
        if self.all.values().sum::<u32>() >= MAX_REQUESTS {
            self.all.values_mut().for_each(|requests| *requests /= 2);
        }
        if !self.routes.contains_key(route) && self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), OriginCounts::default());
        }
        let Some(counts) = self.routes.get_mut(route) else {
            return;
        };
        counts.requests += 1;
        counts.exceptions += u32::from(!may_be_call);
        count(&mut counts.by_origin, origin);
        if counts.requests >= MAX_REQUESTS {
            counts.requests /= 2;
            counts.exceptions /= 2;
            counts
                .by_origin
                .values_mut()
                .for_each(|requests| *requests /= 2);
            counts.by_origin.retain(|_, requests| *requests > 0);
        }
    }

    /// Returns whether the requests of `route` are calls.
    #[must_use]
    pub fn is_call(&self, route: &RouteName) -> bool {
        let Some(counts) = self.routes.get(route) else {
            return false;
        };
        let all: u32 = self.all.values().sum();
        let missing = self.all.iter();
        let missing = missing.filter(|(origin, _)| !counts.by_origin.contains_key(*origin));
        let missing: u32 = missing.map(|(_, requests)| requests).sum();
        let expected = f64::from(counts.requests) * f64::from(missing) / f64::from(all.max(1));
        expected >= MIN_MISSING_REQUESTS && counts.exceptions <= counts.requests / EXCEPTION_DIVISOR
    }
}

/// Counts a request of `origin`, unless too many origins are counted already.
fn count(origins: &mut BTreeMap<ServiceName, u32>, origin: &ServiceName) {
    if let Some(requests) = origins.get_mut(origin) {
        *requests += 1;
    } else if origins.len() < MAX_ORIGINS {
        origins.insert(origin.clone(), 1);
    }
}
