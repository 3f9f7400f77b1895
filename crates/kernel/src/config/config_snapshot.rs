use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    account::AccountIndex,
    config::{
        AccountSpec, CallerLimits, HttpMethod, ProxySpec, RouteIndex, RouteRule, ServiceSpec,
        VersionStamp, check_snapshot,
    },
    error::{ErrorKind, MeshError},
    ids::{
        AccountName, ContentHash, DataCentre, KeyDigest, MeshName, RouteName, ServiceName,
        VersionNumber,
    },
};

/// Size limit of a configuration's canonical bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// A complete configuration: services, routes, and the settings of each data centre's proxies.
///
/// A snapshot is immutable and replaced as a whole, so that a route and the service that it refers
/// to always take effect together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Mesh that the configuration belongs to.
    pub mesh: MeshName,
    /// Proxy settings by data centre.
    pub proxies: BTreeMap<DataCentre, ProxySpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, RouteRule>,
    /// Client accounts by name; requests need no key if there are none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountName, AccountSpec>,
    /// Limits of callers' connections. The defaults are left out, as by nodes that know none.
    #[serde(default, skip_serializing_if = "CallerLimits::is_default")]
    pub limits: CallerLimits,
}

impl ConfigSnapshot {
    /// Returns the canonical encoding, which is identical on every machine for equal snapshots.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let text = serde_json::to_vec(self).expect("a snapshot holds only serializable types");
        Bytes::from(text)
    }
}

/// A validated configuration version: its stamp, its content, and the bytes that the stamp's hash
/// covers.
///
/// The constructors reject content that is oversized, malformed, invalid, or does not match the
/// expected hash, so every value of this type has passed all checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigVersion {
    stamp: VersionStamp,
    snapshot: Arc<ConfigSnapshot>,
    index: RouteIndex,
    account_index: AccountIndex,
    body: Bytes,
}

impl ConfigVersion {
    /// Builds the version `number` from a snapshot.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when a check fails, [`ErrorKind::TooLarge`] when the snapshot is
    /// oversized.
    pub fn from_snapshot(
        number: VersionNumber,
        snapshot: ConfigSnapshot,
    ) -> Result<Self, MeshError> {
        let body = snapshot.to_bytes();
        check_size(&body)?;
        ensure_valid(&snapshot)?;
        let hash = ContentHash::of(&body);
        let stamp = VersionStamp { number, hash };
        Ok(Self::from_parts(stamp, snapshot, body))
    }

    /// Builds a version from a snapshot whose canonical bytes were verified against `stamp`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when a check fails.
    pub(crate) fn from_verified(
        stamp: VersionStamp,
        snapshot: ConfigSnapshot,
        body: Bytes,
    ) -> Result<Self, MeshError> {
        ensure_valid(&snapshot)?;
        Ok(Self::from_parts(stamp, snapshot, body))
    }

    fn from_parts(stamp: VersionStamp, snapshot: ConfigSnapshot, body: Bytes) -> Self {
        Self {
            stamp,
            index: RouteIndex::new(&snapshot),
            account_index: AccountIndex::new(&snapshot),
            snapshot: Arc::new(snapshot),
            body,
        }
    }

    /// Decodes and checks the bytes that were received for `stamp`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when the bytes do not match the stamp's hash, are malformed, or fail
    /// a check; [`ErrorKind::TooLarge`] when they are oversized.
    pub fn from_bytes(stamp: VersionStamp, body: Bytes) -> Result<Self, MeshError> {
        verify_content(stamp, &body)?;
        let snapshot = parse_snapshot(stamp, &body)?;
        Self::from_verified(stamp, snapshot, body)
    }

    /// Returns the stamp of the version.
    #[must_use]
    pub const fn stamp(&self) -> VersionStamp {
        self.stamp
    }

    /// Returns the content of the version.
    #[must_use]
    pub const fn snapshot(&self) -> &Arc<ConfigSnapshot> {
        &self.snapshot
    }

    /// Finds the route with the longest path prefix that matches a request.
    ///
    /// A port in `host` is ignored.
    #[must_use]
    pub fn route(
        &self,
        host: &str,
        method: HttpMethod,
        path: &str,
    ) -> Option<(&RouteName, &RouteRule)> {
        self.index.find(&self.snapshot, host, method, path)
    }

    /// Returns the client account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &KeyDigest) -> Option<(&AccountName, &AccountSpec)> {
        let name = self.account_index.find(key)?;
        self.snapshot.accounts.get_key_value(name)
    }

    /// Returns the canonical bytes of the version's content.
    #[must_use]
    pub const fn body(&self) -> &Bytes {
        &self.body
    }
}

/// Verifies the size of `body` and that its hash is the stamp's.
pub(crate) fn verify_content(stamp: VersionStamp, body: &Bytes) -> Result<(), MeshError> {
    check_size(body)?;
    let hash = ContentHash::of(body);
    if hash == stamp.hash {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "content of version {} has hash {hash} instead of {}",
        stamp.number, stamp.hash
    )))
}

/// Decodes the canonical bytes of a version.
pub(crate) fn parse_snapshot(
    stamp: VersionStamp,
    body: &Bytes,
) -> Result<ConfigSnapshot, MeshError> {
    serde_json::from_slice(body).map_err(|error| {
        MeshError::invalid(format!("content of version {}: {error}", stamp.number))
    })
}

fn check_size(body: &Bytes) -> Result<(), MeshError> {
    if body.len() <= MAX_SNAPSHOT_BYTES {
        return Ok(());
    }
    Err(MeshError::new(
        ErrorKind::TooLarge,
        format!(
            "configuration has {} bytes, the limit is {MAX_SNAPSHOT_BYTES}",
            body.len()
        ),
    ))
}

fn ensure_valid(snapshot: &ConfigSnapshot) -> Result<(), MeshError> {
    let problems = check_snapshot(snapshot);
    let Some(first) = problems.first() else {
        return Ok(());
    };
    let others = problems.len() - 1;
    let message = match others {
        0 => first.to_string(),
        _ => format!("{first} (and {others} more)"),
    };
    Err(MeshError::invalid(message))
}
