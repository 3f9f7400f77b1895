//! Messages of membership, versions and records, which the kernel defines and decides about.

pub use bronzelb_kernel::spread::{
    GossipReply, GossipRequest, PeerHeader, ProbeReply, ProbeRequest, ReconcileReply,
    ReconcileRequest, RecordEntry, RootDigest, SnapshotReply, SnapshotRequest,
};
