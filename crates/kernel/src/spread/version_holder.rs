use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;

use crate::{
    config::{ConfigVersion, VersionStamp, parse_snapshot, verify_content},
    error::MeshError,
    ids::MeshName,
    spread::{ConfigDelta, PackedBytes, SnapshotReply, SnapshotRequest},
};

/// Versions kept as bases of deltas; at the size built towards each takes some 2 MB.
const MAX_EARLIER_VERSIONS: usize = 4;
/// Answers kept for the next peers; a version is asked for by several at once.
const MAX_REPLIES: usize = 4;
const MAX_REFUSED_STAMPS: usize = 64;

/// What became of received content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is now the held one.
    Installed(VersionStamp),
    /// The held version is as new or newer.
    Stale,
    /// The content is not what the stamp names; another source may have the right one.
    Altered(MeshError),
    /// The content is what the stamp names and fails a check; it is never asked for again.
    Refused(MeshError),
}

/// Holder of the newest configuration version that a node has received and checked.
///
/// The number of the held version only rises. Content is used whole or not at all.
#[derive(Clone, Debug)]
pub struct VersionHolder {
    mesh: MeshName,
    held: Option<Arc<ConfigVersion>>,
    earlier: VecDeque<Arc<ConfigVersion>>,
    refused: BTreeMap<VersionStamp, MeshError>,
    /// Latest answers to peers, by the base that they have and the version that they want.
    replies: VecDeque<((Option<VersionStamp>, VersionStamp), SnapshotReply)>,
}

impl VersionHolder {
    /// Builds a holder that holds nothing.
    #[must_use]
    pub const fn new(mesh: MeshName) -> Self {
        Self {
            mesh,
            held: None,
            earlier: VecDeque::new(),
            refused: BTreeMap::new(),
            replies: VecDeque::new(),
        }
    }

    /// Returns the held version.
    #[must_use]
    pub const fn held(&self) -> Option<&Arc<ConfigVersion>> {
        self.held.as_ref()
    }

    /// Returns the held version's stamp.
    #[must_use]
    pub fn stamp(&self) -> Option<VersionStamp> {
        self.held.as_ref().map(|version| version.stamp())
    }

    /// Returns the refused versions and why each was refused.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<VersionStamp, MeshError> {
        &self.refused
    }

    /// Returns whether `stamp` is newer than what is held and has not been refused.
    #[must_use]
    pub fn wants(&self, stamp: VersionStamp) -> bool {
        let is_newer = self.stamp().is_none_or(|held| stamp.number > held.number);
        is_newer && !self.refused.contains_key(&stamp)
    }

    /// Takes in the whole content that was received for `stamp`.
    pub fn offer_whole(&mut self, stamp: VersionStamp, body: Bytes) -> OfferOutcome {
        if let Some(error) = self.refused.get(&stamp) {
            return OfferOutcome::Refused(error.clone());
        }
        if !self.wants(stamp) {
            return OfferOutcome::Stale;
        }
        if let Err(error) = verify_content(stamp, &body) {
            return OfferOutcome::Altered(error);
        }
        let version = parse_snapshot(stamp, &body)
            .and_then(|snapshot| ConfigVersion::from_verified(stamp, snapshot, body));
        self.take(stamp, version)
    }

    /// Takes in a version that has passed all checks.
    pub fn offer_version(&mut self, version: ConfigVersion) -> OfferOutcome {
        let stamp = version.stamp();
        if !self.wants(stamp) {
            return OfferOutcome::Stale;
        }
        self.take(stamp, Ok(version))
    }

    /// Takes in a delta that was received for `stamp`.
    pub fn offer_delta(&mut self, stamp: VersionStamp, bytes: &[u8]) -> OfferOutcome {
        if !self.wants(stamp) {
            return OfferOutcome::Stale;
        }
        let delta = match ConfigDelta::from_bytes(bytes) {
            Ok(delta) => delta,
            Err(error) => return OfferOutcome::Altered(error),
        };
        let Some(base) = self.find(delta.base) else {
            let message = format!("delta of version {} has an unknown base", stamp.number);
            return OfferOutcome::Altered(MeshError::invalid(message));
        };
        let snapshot = delta.apply(base.snapshot());
        let body = snapshot.to_bytes();
        if let Err(error) = verify_content(stamp, &body) {
            return OfferOutcome::Altered(error);
        }
        let version = ConfigVersion::from_verified(stamp, snapshot, body);
        self.take(stamp, version)
    }

    /// Returns the content that answers a peer's request.
    pub fn answer(&mut self, request: &SnapshotRequest) -> SnapshotReply {
        let place = (request.base, request.stamp);
        if let Some((_, reply)) = self.replies.iter().find(|(held, _)| *held == place) {
            return reply.clone();
        }
        let Some(reply) = self.build_reply(request) else {
            return SnapshotReply::Missing;
        };
        self.replies.push_front((place, reply.clone()));
        self.replies.truncate(MAX_REPLIES);
        reply
    }

    fn build_reply(&self, request: &SnapshotRequest) -> Option<SnapshotReply> {
        let version = self.find(request.stamp)?;
        let base = request.base.and_then(|base| self.find(base));
        let delta = base.map(|base| ConfigDelta::between(base, version).to_bytes());
        let body = version.body();
        Some(match delta {
            Some(delta) if delta.len() < body.len() => {
                SnapshotReply::Delta(PackedBytes::pack(&delta))
            }
            _ => SnapshotReply::Packed(PackedBytes::pack(body)),
        })
    }

    fn find(&self, stamp: VersionStamp) -> Option<&Arc<ConfigVersion>> {
        let held = self.held.iter();
        held.chain(&self.earlier)
            .find(|version| version.stamp() == stamp)
    }

    fn take(
        &mut self,
        stamp: VersionStamp,
        version: Result<ConfigVersion, MeshError>,
    ) -> OfferOutcome {
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

    fn install(&mut self, version: ConfigVersion) -> OfferOutcome {
        let stamp = version.stamp();
        if let Some(replaced) = self.held.replace(Arc::new(version)) {
            self.earlier.push_front(replaced);
            self.earlier.truncate(MAX_EARLIER_VERSIONS);
        }
        OfferOutcome::Installed(stamp)
    }

    fn refuse(&mut self, stamp: VersionStamp, error: MeshError) -> OfferOutcome {
        self.refused.insert(stamp, error.clone());
        if self.refused.len() > MAX_REFUSED_STAMPS {
            self.refused.pop_first();
        }
        OfferOutcome::Refused(error)
    }
}
