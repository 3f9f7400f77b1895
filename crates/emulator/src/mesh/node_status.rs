use std::net::SocketAddr;

use bronzelb_kernel::{
    clock::ClockInstant,
    config::VersionStamp,
    ids::{DataCentre, IncarnationNumber, MeshName, NodeName, ServiceName},
    member::{BackendRow, BackendState, MemberState},
};
use serde::{Deserialize, Serialize};

/// What a node says of itself at `/v1/status`, as far as tests look at it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Mesh that the node belongs to.
    pub mesh: MeshName,
    /// Name of the node.
    pub node: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Run of the node.
    pub incarnation: IncarnationNumber,
    /// Lifecycle of the node.
    pub state: MemberState,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Configuration version in force.
    pub version: Option<VersionStamp>,
    /// Instant at which it came into force.
    pub applied_at: ClockInstant,
    /// Whether the platform does not answer.
    pub is_platform_away: bool,
    /// Whether no other data centre has been heard from for a while.
    #[serde(default)]
    pub is_cut_off: bool,
    /// Data centres that have not been heard from for a while.
    #[serde(default)]
    pub silent_data_centres: Vec<DataCentre>,
    /// Members that the node knows, itself among them.
    pub members: Vec<MemberStatus>,
}

/// What a node knows of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub node: NodeName,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Lifecycle of the member.
    pub state: MemberState,
    /// Backend servers beside the member.
    pub backends: Vec<BackendRow>,
}

impl NodeStatus {
    /// Returns the number of the configuration version in force, zero without one.
    #[must_use]
    pub fn version_number(&self) -> u64 {
        self.version.map_or(0, |stamp| stamp.number.get())
    }

    /// Returns how many serving members the node knows.
    #[must_use]
    pub fn serving_members(&self) -> usize {
        let members = self.members.iter();
        members
            .filter(|member| member.state == MemberState::Serving)
            .count()
    }

    /// Returns how many serving backend servers of `service` the node knows.
    #[must_use]
    pub fn serving_backends(&self, service: &ServiceName) -> usize {
        let members = self.members.iter();
        members
            .filter(|member| member.state == MemberState::Serving)
            .flat_map(|member| &member.backends)
            .filter(|row| row.service == *service && row.state == BackendState::Serving)
            .count()
    }
}
