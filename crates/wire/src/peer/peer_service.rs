// `tarpc::service` generates items without doc comments.
#![allow(missing_docs)]

use bronzelb_kernel::{error::MeshError, rollout::EvidenceReport};

use crate::peer::{
    ForwardRequest, ForwardResponse, GossipReply, GossipRequest, ProbeReply, ProbeRequest,
    ReconcileReply, ReconcileRequest, RecordEntry, SnapshotReply, SnapshotRequest, UsageReply,
    UsageReport,
};

/// RPC service that every node offers to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges membership, the latest version stamp and replicated records.
    async fn gossip(request: GossipRequest) -> Result<GossipReply, MeshError>;

    /// Returns the entries of the buckets in which the two nodes' record tables differ.
    async fn reconcile(request: ReconcileRequest) -> Result<ReconcileReply, MeshError>;

    /// Probes a third node on behalf of the requesting node, whose own probe went unanswered.
    async fn probe(request: ProbeRequest) -> Result<ProbeReply, MeshError>;

    /// Returns the content of a configuration version, as a delta if that is smaller.
    async fn snapshot(request: SnapshotRequest) -> Result<SnapshotReply, MeshError>;

    /// Runs a caller's request on a backend server local to the called node.
    async fn forward(request: ForwardRequest) -> Result<ForwardResponse, MeshError>;

    /// Runs a request whose idempotency key the called node owns, or returns its stored response.
    async fn resume(request: ForwardRequest) -> Result<ForwardResponse, MeshError>;

    /// Stores one replicated record immediately instead of at the next gossip round.
    async fn push_record(record: RecordEntry) -> Result<(), MeshError>;

    /// Receives observations by other nodes of version moves that the called node evaluates.
    async fn report_evidence(reports: Vec<EvidenceReport>) -> Result<(), MeshError>;

    /// Grants tokens of client accounts that the called node owns, by their usage caps.
    async fn report_usage(report: UsageReport) -> Result<UsageReply, MeshError>;
}
