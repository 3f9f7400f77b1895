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

const MARK_BUDGET: TimeBudget = TimeBudget::from_millis(250);

/// Keeps requests that kill backend servers from running on a third one.
///
/// A record changes rarely; it is then sent at once to every node beside a server of the service,
/// before the caller learns anything, and later spreads to all nodes by gossip.
#[derive(Clone)]
pub(crate) struct CrashWatch {
    state: Arc<NodeState>,
    peers: PeerPool,
}

impl CrashWatch {
    pub(crate) const fn new(state: Arc<NodeState>, peers: PeerPool) -> Self {
        Self { state, peers }
    }

    /// Returns what is known of the request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] when two servers died of it.
    pub(crate) fn check(&self, fingerprint: ContentHash) -> Result<CrashStatus, MeshError> {
        let Some(record) = self.held(fingerprint) else {
            return Ok(CrashStatus::Clear);
        };
        match record.status(self.state.now()) {
            CrashStatus::Quarantined => Err(MeshError::new(
                ErrorKind::Quarantined,
                "backend servers died of this request; it is not run again",
            )),
            suspicion => Ok(suspicion),
        }
    }

    /// Records that a server died with the request in flight.
    pub(crate) async fn note_death(
        &self,
        message: &ForwardRequest,
        life: ServerInstance,
        announcement: &BackendAnnouncement,
    ) {
        let mut record = CrashRecord::default();
        record.add_crash(life, self.state.now());
        self.state.count("crash_marked");
        self.publish(message.fingerprint, &record, &announcement.service)
            .await;
    }

    /// Records that a server has answered the request, if deaths speak against it.
    pub(crate) async fn clear(&self, fingerprint: ContentHash, service: &ServiceName) {
        let Some(mut record) = self.held(fingerprint) else {
            return;
        };
        let suspicion = record.status(self.state.now());
        if suspicion == CrashStatus::Clear {
            return;
        }
        record.clear();
        self.state.count("crash_cleared");
        if suspicion == CrashStatus::Quarantined {
            self.publish(fingerprint, &record, service).await;
        } else {
            self.merge(fingerprint, &record);
        }
    }

    fn held(&self, fingerprint: ContentHash) -> Option<CrashRecord> {
        let value = self.state.record(&CrashRecord::key(fingerprint))?;
        CrashRecord::decode(&value).ok()
    }

    fn merge(&self, fingerprint: ContentHash, record: &CrashRecord) {
        let key = CrashRecord::key(fingerprint);
        // The record was built here and is neither malformed nor oversized.
        let _ = self.state.put_record(key, record.encode());
    }

    async fn publish(&self, fingerprint: ContentHash, record: &CrashRecord, service: &ServiceName) {
        self.merge(fingerprint, record);
        let entry = RecordEntry {
            key: CrashRecord::key(fingerprint),
            value: record.encode().into(),
        };
        let nodes = self.nodes_beside(service);
        let deadline = self.state.now().after(MARK_BUDGET);
        let marks = nodes
            .iter()
            .map(|node| self.peers.push_record(node, deadline, entry.clone()));
        // A node that is not reached now learns of the record by gossip.
        let _ = time::timeout(MARK_BUDGET.to_std(), future::join_all(marks)).await;
    }

    fn nodes_beside(&self, service: &ServiceName) -> Vec<NodeName> {
        let members = self.state.members();
        let others = members
            .iter()
            .filter(|row| row.node != self.state.settings.node);
        others
            .filter(|row| row.backends.iter().any(|row| row.service == *service))
            .map(|row| row.node.clone())
            .collect()
    }
}
