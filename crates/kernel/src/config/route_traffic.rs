use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptCount, HostName, ServiceName, ServiceWeight};

/// Host matching of a route, and how it distributes requests over services and servers.
///
/// The default matches every host, sends every request to the route's service, and leaves the
/// number of attempts to the node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteTraffic {
    /// Host that the route matches; `None` matches every host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// Whether requests need no key of a client account.
    #[serde(skip_serializing_if = "is_false")]
    pub is_public: bool,
    /// Services and their weights; empty sends every request to the route's service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<ServiceName, ServiceWeight>,
    /// Largest number of backend servers that one request may be sent to; `None` leaves it to the
    /// node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<AttemptCount>,
}

impl RouteTraffic {
    /// Returns whether every field has its default.
    #[must_use]
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Chooses a service in proportion to the weights; `random` is uniformly distributed.
    ///
    /// Returns `None` when the route does not split its requests.
    #[must_use]
    pub fn choose(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .split
            .values()
            .map(|weight| u64::from(weight.get()))
            .sum();
        let mut remainder = random.checked_rem(total)?;
        self.split
            .iter()
            .find(|(_, weight)| {
                let weight = u64::from(weight.get());
                let is_chosen = remainder < weight;
                remainder = remainder.saturating_sub(weight);
                is_chosen
            })
            .map(|(service, _)| service)
    }
}

// The signature is required by serde.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_false(value: &bool) -> bool {
    !*value
}
