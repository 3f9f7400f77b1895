use std::collections::BTreeMap;

use crate::ids::{RouteName, ServiceName};

/// Requests of a route from which on its origin is judged. With two origins of equal weight, all of
/// them come from one by chance once in 32,768 times.
const MIN_REQUESTS: u32 = 16;
/// Number of requests at which the counts of a route are halved, so that they follow a change.
const MAX_REQUESTS: u32 = 1_024;
/// Routes whose origins are counted; further ones are not judged.
const MAX_ROUTES: usize = 1_024;
/// Divisor of a route's requests that gives those that may contradict the judgement: a node that
/// has restarted does not know the runs that began before.
const EXCEPTION_DIVISOR: u32 = 16;

/// Routes that only runs of one other service use, by the requests that a node has passed on.
///
/// Callers of a mesh sit beside the servers of several services, whereas a call enters only beside
/// the service that makes it, and only while that service is running a request that may have made
/// it. Where all requests have the same origin, the two cannot be told apart and no route is judged.
#[derive(Clone, Debug, Default)]
pub struct CallRoutes {
    routes: BTreeMap<RouteName, OriginCounts>,
    /// Service beside which the first request of any route entered.
    first_origin: Option<ServiceName>,
    /// Whether requests entered beside another service too.
    has_several_origins: bool,
}

/// Requests of one route by origin.
#[derive(Clone, Debug)]
struct OriginCounts {
    /// Service that most of the requests came from.
    origin: ServiceName,
    requests: u32,
    /// Requests of other origins, or that no run may have made.
    exceptions: u32,
}

impl CallRoutes {
    /// Records a request that entered beside a server of `origin`; `may_be_call` tells whether a run
    /// there may have made it.
    pub fn record(&mut self, route: &RouteName, origin: &ServiceName, may_be_call: bool) {
        match &self.first_origin {
            Some(first) => self.has_several_origins |= first != origin,
            None => self.first_origin = Some(origin.clone()),
        }
        if !self.routes.contains_key(route) && self.routes.len() < MAX_ROUTES {
            let counts = OriginCounts {
                origin: origin.clone(),
                requests: 0,
                exceptions: 0,
            };
            self.routes.insert(route.clone(), counts);
        }
        let Some(counts) = self.routes.get_mut(route) else {
            return;
        };
        counts.requests += 1;
        counts.exceptions += u32::from(!may_be_call || counts.origin != *origin);
        if counts.requests >= MAX_REQUESTS {
            counts.requests /= 2;
            counts.exceptions /= 2;
        }
    }

    /// Returns whether the requests of `route` are calls.
    #[must_use]
    pub fn is_call(&self, route: &RouteName) -> bool {
        let counts = self.routes.get(route);
        self.has_several_origins
            && counts.is_some_and(|counts| {
                counts.requests >= MIN_REQUESTS
                    && counts.exceptions <= counts.requests / EXCEPTION_DIVISOR
            })
    }
}
