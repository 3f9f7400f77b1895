// The tarpc macro generates items without doc comments.
#![allow(missing_docs)]

use bronzelb_kernel::{error::MeshError, rollout::EvidenceReport};

use crate::peer::{
    ForwardAnswer, ForwardRequest, GossipReply, GossipRequest, ProbeReply, ProbeRequest,
    ReconcileReply, ReconcileRequest, RecordEntry, SnapshotReply, SnapshotRequest,
};

/// What one node asks of another.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges membership, the newest version stamp and replicated records.
    async fn gossip(request: GossipRequest) -> Result<GossipReply, MeshError>;

    /// Returns the entries of buckets in which the two nodes' tables differ.
    async fn reconcile(request: ReconcileRequest) -> Result<ReconcileReply, MeshError>;

    /// Probes a third node for a caller that got no answer from it.
    async fn probe(request: ProbeRequest) -> Result<ProbeReply, MeshError>;

    /// Returns a configuration version's content, as a delta where that is smaller.
    async fn snapshot(request: SnapshotRequest) -> Result<SnapshotReply, MeshError>;

    /// Runs a caller's request on a backend server beside the called node.
    async fn forward(request: ForwardRequest) -> Result<ForwardAnswer, MeshError>;

    /// Runs or answers a request whose idempotency key the called node holds.
    async fn resume(request: ForwardRequest) -> Result<ForwardAnswer, MeshError>;

    /// Takes in one replicated record without waiting for the next exchange.
    async fn mark(record: RecordEntry) -> Result<(), MeshError>;

    /// Takes in what other nodes saw of version moves that the called node judges.
    async fn evidence(reports: Vec<EvidenceReport>) -> Result<(), MeshError>;
}
