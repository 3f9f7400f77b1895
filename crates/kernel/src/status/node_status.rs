use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    config::VersionStamp,
    ids::{DataCentre, IncarnationNumber, MeshName, NodeName, ServiceName},
    member::{BackendState, MemberState},
    status::{AccountStatus, EvacuationStatus, MemberStatus, RefusedVersion},
};

/// Status of a node and of the members that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Mesh that the node belongs to.
    pub mesh: MeshName,
    /// Name of the node.
    pub node: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
    /// Lifecycle state of the node.
    pub state: MemberState,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Active configuration version.
    pub version: Option<VersionStamp>,
    /// Instant at which the active version was applied, by the node's clock.
    pub applied_at: ClockInstant,
    /// Instant of this status, by the node's clock.
    pub now: ClockInstant,
    /// Whether the platform does not respond.
    pub is_platform_away: bool,
    /// Reachability of the platform: `unknown`, `reachable` or `away`.
    #[serde(default)]
    pub platform: CompactString,
    /// Whether the mesh has other data centres and all of them are in `silent_data_centres`.
    #[serde(default)]
    pub is_cut_off: bool,
    /// Other data centres without contact within the silence timeout.
    #[serde(default)]
    pub silent_data_centres: Vec<DataCentre>,
    /// Whether this node reads the platform's version row for its data centre.
    #[serde(default)]
    pub is_reader: bool,
    /// Versions that this node rejected, each with the reason.
    #[serde(default)]
    pub refused: Vec<RefusedVersion>,
    /// Whether each data centre is evacuated, as far as the node knows.
    #[serde(default)]
    pub evacuations: Vec<EvacuationStatus>,
    /// Client accounts of the active version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountStatus>,
    /// Members that the node knows, including itself.
    pub members: Vec<MemberStatus>,
}

impl NodeStatus {
    /// Returns the number of the active configuration version, zero without one.
    #[must_use]
    pub fn version_number(&self) -> u64 {
        self.version.map_or(0, |stamp| stamp.number.get())
    }

    /// Returns the number of serving members that the node knows.
    #[must_use]
    pub fn serving_member_count(&self) -> usize {
        self.iter_serving().count()
    }

    /// Returns the number of serving backend servers of `service` that the node knows.
    #[must_use]
    pub fn serving_backend_count(&self, service: &ServiceName) -> usize {
        self.iter_serving()
            .flat_map(|member| &member.backends)
            .filter(|row| row.service == *service && row.state == BackendState::Serving)
            .count()
    }

    fn iter_serving(&self) -> impl Iterator<Item = &MemberStatus> {
        let members = self.members.iter();
        members.filter(|member| member.state == MemberState::Serving)
    }
}
