use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;

use crate::{
    config::{ConfigVersion, VersionStamp, parse_snapshot, verify_content},
    error::MeshError,
    ids::MeshName,
    spread::{CompressedBytes, ConfigDelta, SnapshotReply, SnapshotRequest},
};

/// Versions kept as bases of deltas; each takes about 2 MB at the target configuration size.
const MAX_EARLIER_VERSIONS: usize = 4;
/// Encoded replies kept for reuse, as several peers request the same version at once.
const MAX_CACHED_REPLIES: usize = 4;
const MAX_REFUSED_STAMPS: usize = 64;

/// Outcome of installing received content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The version is now the current one.
    Installed(VersionStamp),
    /// The version is not wanted, usually because the current one is as new or newer.
    Stale,
    /// The content does not match the stamp; another source may have the right content.
    Altered(MeshError),
    /// The content matches the stamp but fails a check; it is not fetched again.
    Refused(MeshError),
}

/// Store of the newest configuration version that a node has received and checked.
///
/// The number of the current version only increases. Content is installed as a whole or not at all.
#[derive(Clone, Debug)]
pub struct VersionStore {
    mesh: MeshName,
    current: Option<Arc<ConfigVersion>>,
    earlier: VecDeque<Arc<ConfigVersion>>,
    refused: BTreeMap<VersionStamp, MeshError>,
    /// Latest replies to peers, by the base that they have and the version that they request.
    reply_cache: VecDeque<((Option<VersionStamp>, VersionStamp), SnapshotReply)>,
}

impl VersionStore {
    /// Creates an empty store.
    #[must_use]
    pub const fn new(mesh: MeshName) -> Self {
        Self {
            mesh,
            current: None,
            earlier: VecDeque::new(),
            refused: BTreeMap::new(),
            reply_cache: VecDeque::new(),
        }
    }

    /// Returns the current version.
    #[must_use]
    pub const fn current(&self) -> Option<&Arc<ConfigVersion>> {
        self.current.as_ref()
    }

    /// Returns the stamp of the current version.
    #[must_use]
    pub fn stamp(&self) -> Option<VersionStamp> {
        self.current.as_ref().map(|version| version.stamp())
    }

    /// Returns the refused versions with the reasons.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<VersionStamp, MeshError> {
        &self.refused
    }

    /// Returns whether `stamp` is newer than the current version and has not been refused.
    #[must_use]
    pub fn is_wanted(&self, stamp: VersionStamp) -> bool {
        let is_newer = self.stamp().is_none_or(|held| stamp.number > held.number);
        is_newer && !self.refused.contains_key(&stamp)
    }

    /// Checks and installs the whole content that was received for `stamp`.
    pub fn offer_snapshot(&mut self, stamp: VersionStamp, body: Bytes) -> InstallOutcome {
        if let Some(error) = self.refused.get(&stamp) {
            return InstallOutcome::Refused(error.clone());
        }
        if !self.is_wanted(stamp) {
            return InstallOutcome::Stale;
        }
        if let Err(error) = verify_content(stamp, &body) {
            return InstallOutcome::Altered(error);
        }
        let version = parse_snapshot(stamp, &body)
            .and_then(|snapshot| ConfigVersion::from_verified(stamp, snapshot, body));
        self.install_or_refuse(stamp, version)
    }

    /// Installs a version that has passed all checks.
    pub fn offer_version(&mut self, version: ConfigVersion) -> InstallOutcome {
        let stamp = version.stamp();
        if !self.is_wanted(stamp) {
            return InstallOutcome::Stale;
        }
        self.install_or_refuse(stamp, Ok(version))
    }

    /// Applies a delta that was received for `stamp`, then checks and installs the result.
    pub fn offer_delta(&mut self, stamp: VersionStamp, bytes: &[u8]) -> InstallOutcome {
        if !self.is_wanted(stamp) {
            return InstallOutcome::Stale;
        }
        let delta = match ConfigDelta::from_bytes(bytes) {
            Ok(delta) => delta,
            Err(error) => return InstallOutcome::Altered(error),
        };
        let Some(base) = self.find(delta.base) else {
            let message = format!("delta of version {} has an unknown base", stamp.number);
            return InstallOutcome::Altered(MeshError::invalid(message));
        };
        let snapshot = delta.apply(base.snapshot());
        let body = snapshot.to_bytes();
        if let Err(error) = verify_content(stamp, &body) {
            return InstallOutcome::Altered(error);
        }
        let version = ConfigVersion::from_verified(stamp, snapshot, body);
        self.install_or_refuse(stamp, version)
    }

    /// Builds the reply to a peer's request, or reuses a cached one.
    pub fn build_reply(&mut self, request: &SnapshotRequest) -> SnapshotReply {
        let cache_key = (request.base, request.stamp);
        if let Some((_, reply)) = self.reply_cache.iter().find(|(held, _)| *held == cache_key) {
            return reply.clone();
        }
        let Some(reply) = self.encode_reply(request) else {
            return SnapshotReply::Missing;
        };
        self.reply_cache.push_front((cache_key, reply.clone()));
        self.reply_cache.truncate(MAX_CACHED_REPLIES);
        reply
    }

    fn encode_reply(&self, request: &SnapshotRequest) -> Option<SnapshotReply> {
        let version = self.find(request.stamp)?;
        let base = request.base.and_then(|base| self.find(base));
        let delta = base.map(|base| ConfigDelta::between(base, version).to_bytes());
        let body = version.body();
        Some(match delta {
            Some(delta) if delta.len() < body.len() => {
                SnapshotReply::Delta(CompressedBytes::compress(&delta))
            }
            _ => SnapshotReply::Compressed(CompressedBytes::compress(body)),
        })
    }

    fn find(&self, stamp: VersionStamp) -> Option<&Arc<ConfigVersion>> {
        let held = self.current.iter();
        held.chain(&self.earlier)
            .find(|version| version.stamp() == stamp)
    }

    fn install_or_refuse(
        &mut self,
        stamp: VersionStamp,
        version: Result<ConfigVersion, MeshError>,
    ) -> InstallOutcome {
        let checked = version.and_then(|version| {
            self.check_mesh(&version)?;
            Ok(version)
        });
        match checked {
            Ok(version) => self.install(version),
            Err(error) => self.refuse(stamp, error),
        }
    }

    fn check_mesh(&self, version: &ConfigVersion) -> Result<(), MeshError> {
        let mesh = &version.snapshot().mesh;
        if *mesh == self.mesh {
            return Ok(());
        }
        Err(MeshError::invalid(format!(
            "content of version {} belongs to mesh {mesh}, not to {}",
            version.stamp().number,
            self.mesh
        )))
    }

    fn install(&mut self, version: ConfigVersion) -> InstallOutcome {
        let stamp = version.stamp();
        if let Some(replaced) = self.current.replace(Arc::new(version)) {
            self.earlier.push_front(replaced);
            self.earlier.truncate(MAX_EARLIER_VERSIONS);
        }
        InstallOutcome::Installed(stamp)
    }

    fn refuse(&mut self, stamp: VersionStamp, error: MeshError) -> InstallOutcome {
        self.refused.insert(stamp, error.clone());
        if self.refused.len() > MAX_REFUSED_STAMPS {
            self.refused.pop_first();
        }
        InstallOutcome::Refused(error)
    }
}
