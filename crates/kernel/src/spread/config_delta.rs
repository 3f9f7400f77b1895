use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config::{
        AccountSpec, CallerLimits, ConfigSnapshot, ConfigVersion, ProxySpec, RouteRule,
        ServiceSpec, VersionStamp,
    },
    error::MeshError,
    ids::{AccountName, DataCentre, RouteName, ServiceName},
};

/// Changes to one map of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapDelta<K: Ord, V> {
    /// Entries that were added or changed.
    pub put: BTreeMap<K, V>,
    /// Keys that were removed.
    pub removed: BTreeSet<K>,
}

impl<K: Ord, V> Default for MapDelta<K, V> {
    fn default() -> Self {
        Self {
            put: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }
}

impl<K: Ord, V> MapDelta<K, V> {
    fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> MapDelta<K, V> {
    fn between(base: &BTreeMap<K, V>, target: &BTreeMap<K, V>) -> Self {
        let put = target
            .iter()
            .filter(|(key, value)| base.get(key) != Some(value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let removed = base
            .keys()
            .filter(|key| !target.contains_key(key))
            .cloned()
            .collect();
        Self { put, removed }
    }

    fn apply_to(self, map: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            map.remove(key);
        }
        map.extend(self.put);
    }
}

/// Difference between two versions of a mesh's configuration.
///
/// A delta itself is not trusted: before any part of the result is used, the bytes of the resulting
/// snapshot must match the hash of the wanted version and pass every check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// Version to which the delta applies.
    pub base: VersionStamp,
    /// Changed proxy settings, by data centre.
    pub proxies: MapDelta<DataCentre, ProxySpec>,
    /// Changed services.
    pub services: MapDelta<ServiceName, ServiceSpec>,
    /// Changed routes.
    pub routes: MapDelta<RouteName, RouteRule>,
    /// Changed client accounts.
    #[serde(default, skip_serializing_if = "MapDelta::is_empty")]
    pub accounts: MapDelta<AccountName, AccountSpec>,
    /// Limits of callers' connections, if they have changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<CallerLimits>,
}

impl ConfigDelta {
    /// Computes the changes from `base` to `target`.
    #[must_use]
    pub fn between(base: &ConfigVersion, target: &ConfigVersion) -> Self {
        let (old, new) = (base.snapshot(), target.snapshot());
        Self {
            base: base.stamp(),
            proxies: MapDelta::between(&old.proxies, &new.proxies),
            services: MapDelta::between(&old.services, &new.services),
            routes: MapDelta::between(&old.routes, &new.routes),
            accounts: MapDelta::between(&old.accounts, &new.accounts),
            limits: (old.limits != new.limits).then_some(new.limits),
        }
    }

    /// Applies the changes to a copy of `base`.
    #[must_use]
    pub fn apply(self, base: &ConfigSnapshot) -> ConfigSnapshot {
        let mut snapshot = base.clone();
        self.proxies.apply_to(&mut snapshot.proxies);
        self.services.apply_to(&mut snapshot.services);
        self.routes.apply_to(&mut snapshot.routes);
        self.accounts.apply_to(&mut snapshot.accounts);
        snapshot.limits = self.limits.unwrap_or(snapshot.limits);
        snapshot
    }

    /// Encodes the delta as JSON, with the same value formats as a snapshot's canonical bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let text = serde_json::to_vec(self).expect("a delta holds only serializable types");
        Bytes::from(text)
    }

    /// Decodes a received delta.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) when the bytes are malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        serde_json::from_slice(bytes)
            .map_err(|error| MeshError::invalid(format!("configuration delta: {error}")))
    }
}
