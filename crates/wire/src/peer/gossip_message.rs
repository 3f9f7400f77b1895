use bronzelb_kernel::{
    config::VersionStamp,
    ids::NodeName,
    member::MemberRow,
    spread::{RecordKey, RecordValue},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A replicated record in transit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Key of the record.
    pub key: RecordKey,
    /// Value in the kind's own encoding.
    pub value: RecordValue,
}

/// What a node tells a peer at each exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Sender.
    pub from: NodeName,
    /// Newest version that the sender holds.
    pub stamp: Option<VersionStamp>,
    /// Member rows of the sender.
    pub members: Vec<MemberRow>,
    /// Records of the sender.
    pub records: Vec<RecordEntry>,
}

/// What the peer answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Newest version that the peer holds.
    pub stamp: Option<VersionStamp>,
    /// Member rows that the sender lacks.
    pub members: Vec<MemberRow>,
    /// Records that the sender lacks.
    pub records: Vec<RecordEntry>,
}

/// Request for a configuration version's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Version that is wanted.
    pub stamp: VersionStamp,
}

/// A configuration version's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Version of the content.
    pub stamp: VersionStamp,
    /// Canonical bytes.
    pub body: Bytes,
}
