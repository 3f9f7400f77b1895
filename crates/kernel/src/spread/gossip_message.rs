use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::VersionStamp,
    ids::{DataCentre, NodeName},
    member::MemberRow,
    spread::{BucketIndex, CompressedBytes, RecordKey, RecordValue},
};

/// A replicated record in transit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Key of the record.
    pub key: RecordKey,
    /// Value, in the encoding of its kind.
    pub value: RecordValue,
}

/// Root hashes of a node's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootDigest {
    /// Hash of the members that are not gone.
    pub members: u64,
    /// Hash of the records.
    pub records: u64,
}

/// Header of every message between nodes: the sender and the newest version that it holds.
///
/// Any message thus announces a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeader {
    /// Name of the sender.
    pub node: NodeName,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Newest version that the sender holds.
    pub stamp: Option<VersionStamp>,
    /// When the platform last answered any node, as far as the sender knows.
    #[serde(rename = "source_seen")]
    pub platform_seen_at: Option<ClockInstant>,
    /// When the platform last answered with operators' orders all of which are among the sender's
    /// records.
    pub orders_seen_at: Option<ClockInstant>,
}

/// Push of changes to a peer, or a periodic anti-entropy exchange, which carries a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Digest of the sender's tables; absent on a push.
    pub digest: Option<RootDigest>,
    /// Changed member rows.
    pub members: Vec<MemberRow>,
    /// Changed records.
    pub records: Vec<RecordEntry>,
}

/// Reply to a [`GossipRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Replying peer.
    pub from: PeerHeader,
    /// Digest of the peer's tables; absent on the reply to a push.
    pub digest: Option<RootDigest>,
    /// Rows that are newer than those in the request, and the requesting node's own row if the peer
    /// considers that node suspected or gone.
    pub members: Vec<MemberRow>,
}

/// Request for the entries of buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReconcileRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Hashes of the sender's member buckets; empty when the member digests agree.
    pub members: Vec<u64>,
    /// Hashes of the sender's record buckets; empty when the record digests agree.
    pub records: Vec<u64>,
    /// Maximum number of buckets to return from each table.
    pub max_buckets: u8,
}

/// Entries of the buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReconcileReply {
    /// Replying peer.
    pub from: PeerHeader,
    /// Member buckets that the reply covers.
    pub member_buckets: Vec<BucketIndex>,
    /// All rows of these buckets.
    pub members: Vec<MemberRow>,
    /// Record buckets that the reply covers.
    pub record_buckets: Vec<BucketIndex>,
    /// All records of these buckets.
    pub records: Vec<RecordEntry>,
}

/// Request for an indirect probe of a third node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Node to probe.
    pub target: NodeName,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Result of an indirect probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Helper that sent the probe.
    pub from: PeerHeader,
    /// Whether the probed node replied to the helper.
    pub is_alive: bool,
}

/// Request for a configuration version's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Requested version.
    pub stamp: VersionStamp,
    /// Version that may serve as the base of a delta; absent to request a whole snapshot.
    pub base: Option<VersionStamp>,
}

/// Content of a configuration version, or when to retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotReply {
    /// Delta from the base to the requested version: a [`ConfigDelta`](crate::spread::ConfigDelta)
    /// as compressed JSON.
    Delta(CompressedBytes),
    /// Compressed canonical bytes of the requested version.
    #[serde(rename = "Packed")]
    Compressed(CompressedBytes),
    /// Canonical bytes of the requested version.
    Whole(Bytes),
    /// Too many transfers are in progress. The wait is relative; the receiver adds it to its own
    /// clock.
    Busy(TimeBudget),
    /// The peer does not hold that version.
    Missing,
}
