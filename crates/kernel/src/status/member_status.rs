use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentre, NodeName},
    member::{BackendRow, MemberRow, MemberState},
};

/// A node's view of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub node: NodeName,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Lifecycle state of the member.
    pub state: MemberState,
    /// Backend servers local to the member.
    #[serde(default)]
    pub backends: Vec<BackendRow>,
}

impl From<&MemberRow> for MemberStatus {
    fn from(row: &MemberRow) -> Self {
        Self {
            node: row.node.clone(),
            data_centre: row.data_centre.clone(),
            state: row.state,
            backends: row.backends.clone(),
        }
    }
}
