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
    /// Value in the kind's own encoding.
    pub value: RecordValue,
}

/// Root sums of a node's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootDigest {
    /// Sum of the members that are not gone.
    pub members: u64,
    /// Sum of the records.
    pub records: u64,
}

/// Who sends a message, and the newest version that it holds.
///
/// Every message between nodes carries one, so that any contact shows a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeader {
    /// Name of the sender.
    pub node: NodeName,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Newest version that the sender holds.
    pub stamp: Option<VersionStamp>,
    /// When the platform last answered a node, as far as the sender knows.
    pub platform_seen_at: Option<ClockInstant>,
}

/// What a node tells a peer: changes that it pushes, and its digest at a periodic exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Sums of the sender's tables; absent on a push.
    pub digest: Option<RootDigest>,
    /// Changed member rows.
    pub members: Vec<MemberRow>,
    /// Changed records.
    pub records: Vec<RecordEntry>,
}

/// What the peer answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Answering peer.
    pub from: PeerHeader,
    /// Sums of the peer's tables; absent on the answer to a push.
    pub digest: Option<RootDigest>,
    /// Rows that replace the ones that the sender told.
    pub members: Vec<MemberRow>,
}

/// Request for the entries of buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReconcileRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Sums of the sender's member buckets; empty when its members do not differ.
    pub members: Vec<u64>,
    /// Sums of the sender's record buckets; empty when its records do not differ.
    pub records: Vec<u64>,
    /// Largest number of buckets of each table that the sender wants.
    pub max_buckets: u8,
}

/// Entries of the buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReconcileReply {
    /// Answering peer.
    pub from: PeerHeader,
    /// Member buckets whose rows follow.
    pub member_buckets: Vec<BucketIndex>,
    /// All rows of these buckets.
    pub members: Vec<MemberRow>,
    /// Record buckets whose records follow.
    pub record_buckets: Vec<BucketIndex>,
    /// All records of these buckets.
    pub records: Vec<RecordEntry>,
}

/// Request to find out whether a third node answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Node to be probed.
    pub target: NodeName,
    /// Address of its listener for peers.
    pub address: SocketAddr,
}

/// Whether the third node answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Answering helper.
    pub from: PeerHeader,
    /// Whether the probed node answered the helper.
    pub is_alive: bool,
}

/// Request for a configuration version's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Sender.
    pub from: PeerHeader,
    /// Version that is wanted.
    pub stamp: VersionStamp,
    /// Version to which a delta may apply; absent when only a whole snapshot will do.
    pub base: Option<VersionStamp>,
}

/// A configuration version's content, or when to come back for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotReply {
    /// Change from the base to the wanted version, as packed JSON of a
    /// [`ConfigDelta`](crate::spread::ConfigDelta).
    Delta(CompressedBytes),
    /// Packed canonical bytes of the wanted version.
    Compressed(CompressedBytes),
    /// Canonical bytes of the wanted version.
    Whole(Bytes),
    /// Too many transfers are under way; the wait turns into an instant on arrival.
    Busy(TimeBudget),
    /// The peer does not hold that version.
    Missing,
}
