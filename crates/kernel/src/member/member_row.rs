use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentre, IncarnationNumber, NodeName},
    member::BackendRow,
};

/// Lifecycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Accepts no callers' requests yet, after a start or a pause, but those of other nodes to its
    /// backend servers.
    Starting,
    /// Accepts requests.
    Serving,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// Did not reply to probes; declared gone unless it refutes the suspicion.
    Suspect,
    /// Has left or failed.
    Gone,
}

/// Replicated state of a node, kept by every node.
///
/// A row is replaced by one with a higher `(incarnation, revision)`, which only the node itself
/// raises. Other nodes may only set a later state, such as a suspicion, under the same numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
    /// Number that the node raises with each change of its row.
    pub revision: u64,
    /// Lifecycle state.
    pub state: MemberState,
    /// Data centre of the node's VM.
    pub data_centre: DataCentre,
    /// Address of the node's peer listener.
    pub peer_address: SocketAddr,
    /// Local backend servers of the node.
    pub backends: Vec<BackendRow>,
}

impl MemberRow {
    /// Returns whether this row replaces `held`.
    #[must_use]
    pub fn replaces(&self, held: &Self) -> bool {
        let newer = (self.incarnation, self.revision, self.state);
        newer > (held.incarnation, held.revision, held.state)
    }

    /// Returns whether this row differs from `held` at most in hints: figures that improve the
    /// choice of a server but do not decide whether it may be used.
    #[must_use]
    pub fn differs_in_hints_only(&self, held: &Self) -> bool {
        let same_node = self.incarnation == held.incarnation
            && self.state == held.state
            && self.peer_address == held.peer_address
            && self.data_centre == held.data_centre;
        let mut pairs = self.backends.iter().zip(&held.backends);
        same_node
            && self.backends.len() == held.backends.len()
            && pairs.all(|(row, held)| row.differs_in_hints_only(held))
    }
}
