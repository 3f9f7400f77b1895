//! Messages for membership, configuration versions and replicated records.
//!
//! The kernel defines these types together with the logic that handles them.

pub use bronzelb_kernel::spread::{
    GossipReply, GossipRequest, PeerHeader, ProbeReply, ProbeRequest, ReconcileReply,
    ReconcileRequest, RecordEntry, RootDigest, SnapshotReply, SnapshotRequest,
};
