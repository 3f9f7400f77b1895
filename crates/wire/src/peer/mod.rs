//! Node-to-node RPC service and its messages.

mod forward_message;
mod gossip_message;
mod peer_service;
mod usage_message;

pub use forward_message::{ForwardRequest, ForwardResponse, HttpHeader};
pub use gossip_message::{
    GossipReply, GossipRequest, PeerHeader, ProbeReply, ProbeRequest, ReconcileReply,
    ReconcileRequest, RecordEntry, RootDigest, SnapshotReply, SnapshotRequest,
};
pub use peer_service::{PeerService, PeerServiceClient, PeerServiceRequest, PeerServiceResponse};
pub use usage_message::{AccountGrant, AccountUsage, UsageReply, UsageReport};
