use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptCount, HostName, ServiceName, ServiceWeight};

/// How a route picks requests by host, and how it spreads them over services and servers.
///
/// The default matches every host, sends everything to the route's one service, and leaves the
/// number of attempts to the node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteTraffic {
    /// Host that the route matches; `None` matches every host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// Services that share the requests by weight; empty sends all to the route's service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<ServiceName, ServiceWeight>,
    /// Most backend servers that one request may be sent to; `None` leaves it to the node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<AttemptCount>,
}

impl RouteTraffic {
    /// Returns whether nothing differs from the default.
    #[must_use]
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Chooses one of the services in proportion to their weights; `point` is uniformly random.
    ///
    /// Returns `None` when the route does not split its requests.
    #[must_use]
    pub fn choose(&self, point: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .split
            .values()
            .map(|weight| u64::from(weight.get()))
            .sum();
        let mut left = point.checked_rem(total)?;
        self.split
            .iter()
            .find(|(_, weight)| {
                let weight = u64::from(weight.get());
                let is_chosen = left < weight;
                left = left.saturating_sub(weight);
                is_chosen
            })
            .map(|(service, _)| service)
    }
}
