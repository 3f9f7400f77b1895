use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentre, IncarnationNumber, NodeName},
    member::BackendRow,
};

/// Lifecycle of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Holds no configuration yet.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes its requests in flight and takes no new ones.
    Draining,
    /// Did not answer pending_probes; removed unless it refutes.
    Suspect,
    /// Has left or died.
    Gone,
}

/// What every node knows of another node.
///
/// Rows are replaced by a higher `(incarnation, revision)`; only the node itself raises either,
/// except for suspicion, which others set under the row's own numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: NodeName,
    /// Run of the node.
    pub incarnation: IncarnationNumber,
    /// Change count within the run.
    pub revision: u64,
    /// Lifecycle of the node.
    pub state: MemberState,
    /// Data centre that the node's VM is in.
    pub data_centre: DataCentre,
    /// Address of the node's listener for peers.
    pub peer_address: SocketAddr,
    /// Backend servers beside the node.
    pub backends: Vec<BackendRow>,
}

impl MemberRow {
    /// Returns whether this row replaces `held`.
    #[must_use]
    pub fn replaces(&self, held: &Self) -> bool {
        let newer = (self.incarnation, self.revision, self.state);
        newer > (held.incarnation, held.revision, held.state)
    }
}
