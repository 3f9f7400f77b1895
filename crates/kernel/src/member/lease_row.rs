use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::{DataCentre, IncarnationNumber, MeshName, NodeName},
    member::MemberRow,
};

/// The platform's row `MESH/member/NODE`, by which starting nodes find their first peers.
///
/// Rows are renewed rarely. They give the recent address of a node; gossip decides whether it is
/// alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Address of the node's peer listener.
    pub peer_address: SocketAddr,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
    /// When the row expires unless it is renewed.
    pub lease_deadline: ClockInstant,
}

impl LeaseRow {
    /// Creates the row of `member`, which expires `ttl` after `now`.
    #[must_use]
    pub fn of(member: &MemberRow, now: ClockInstant, ttl: TimeBudget) -> Self {
        Self {
            peer_address: member.peer_address,
            data_centre: member.data_centre.clone(),
            incarnation: member.incarnation,
            lease_deadline: now.after(ttl),
        }
    }

    /// Returns the key prefix of a mesh's rows.
    #[must_use]
    pub fn prefix(mesh: &MeshName) -> CompactString {
        format_compact!("{mesh}/member/")
    }

    /// Returns the key of the row of `node`.
    #[must_use]
    pub fn key(mesh: &MeshName, node: &NodeName) -> CompactString {
        format_compact!("{mesh}/member/{node}")
    }

    /// Encodes the row as the JSON text that the table holds.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a lease row holds only serializable types")
    }

    /// Decodes the JSON text that the table holds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) when the text is malformed.
    pub fn from_json(text: &str) -> Result<Self, MeshError> {
        serde_json::from_str(text)
            .map_err(|error| MeshError::invalid(format!("lease row: {error}")))
    }
}
