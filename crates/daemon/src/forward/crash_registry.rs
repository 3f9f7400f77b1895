use std::sync::Arc;

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    ids::{ContentHash, NodeName, ServiceName},
    request::{CrashRecord, CrashStatus, ServerInstance},
};
use bronzelb_wire::peer::{ForwardRequest, RecordEntry};
use futures::future;
use tokio::time;

use crate::{backends::BackendAnnouncement, node::NodeState, peers::PeerPool};

const PUBLISH_TIMEOUT: TimeBudget = TimeBudget::from_millis(250);

/// Quarantines a request after it has crashed two backend servers.
///
/// Crash records change rarely. A changed record is sent immediately to every node that hosts a
/// server of the service, before the caller gets a response, and reaches all other nodes by gossip.
#[derive(Clone)]
pub(crate) struct CrashRegistry {
    state: Arc<NodeState>,
    peers: PeerPool,
}

impl CrashRegistry {
    pub(crate) const fn new(state: Arc<NodeState>, peers: PeerPool) -> Self {
        Self { state, peers }
    }

    /// Returns the crash status of the request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] when the request has crashed two servers.
    pub(crate) fn check(&self, fingerprint: ContentHash) -> Result<CrashStatus, MeshError> {
        let Some(record) = self.stored_record(fingerprint) else {
            return Ok(CrashStatus::Clear);
        };
        match record.status(self.state.now()) {
            CrashStatus::Quarantined => Err(MeshError::new(
                ErrorKind::Quarantined,
                "the request has crashed backend servers and will not be run again",
            )),
            status => Ok(status),
        }
    }

    /// Records that a server crashed while running the request.
    pub(crate) async fn record_crash(
        &self,
        message: &ForwardRequest,
        instance: ServerInstance,
        announcement: &BackendAnnouncement,
    ) {
        let mut record = CrashRecord::default();
        record.add_crash(instance, self.state.now());
        self.state.count("crash_marked");
        self.publish(message.fingerprint, &record, &announcement.service)
            .await;
    }

    /// Clears the crash record of a request that a server has answered.
    pub(crate) async fn clear(&self, fingerprint: ContentHash, service: &ServiceName) {
        let Some(mut record) = self.stored_record(fingerprint) else {
            return;
        };
        let status = record.status(self.state.now());
        if status == CrashStatus::Clear {
            return;
        }
        record.clear();
        self.state.count("crash_cleared");
        if status == CrashStatus::Quarantined {
            self.publish(fingerprint, &record, service).await;
        } else {
            self.merge(fingerprint, &record);
        }
    }

    fn stored_record(&self, fingerprint: ContentHash) -> Option<CrashRecord> {
        let value = self.state.record(&CrashRecord::key(fingerprint))?;
        CrashRecord::decode(&value).ok()
    }

    fn merge(&self, fingerprint: ContentHash, record: &CrashRecord) {
        let key = CrashRecord::key(fingerprint);
        // Storing cannot fail: the record was encoded here, so it is well-formed and within limits.
        let _ = self.state.put_record(key, record.encode());
    }

    async fn publish(&self, fingerprint: ContentHash, record: &CrashRecord, service: &ServiceName) {
        self.merge(fingerprint, record);
        let entry = RecordEntry {
            key: CrashRecord::key(fingerprint),
            value: record.encode().into(),
        };
        let nodes = self.other_nodes_serving(service);
        let deadline = self.state.now().after(PUBLISH_TIMEOUT);
        let sends = nodes
            .iter()
            .map(|node| self.peers.push_record(node, deadline, entry.clone()));
        // Nodes that miss this message receive the record by gossip.
        let _ = time::timeout(PUBLISH_TIMEOUT.to_std(), future::join_all(sends)).await;
    }

    fn other_nodes_serving(&self, service: &ServiceName) -> Vec<NodeName> {
        let members = self.state.members();
        let others = members
            .iter()
            .filter(|member| member.node != self.state.settings.node);
        others
            .filter(|member| {
                member
                    .backends
                    .iter()
                    .any(|backend| backend.service == *service)
            })
            .map(|member| member.node.clone())
            .collect()
    }
}
