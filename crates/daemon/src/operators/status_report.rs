use std::net::SocketAddr;

use bronzelb_kernel::{
    clock::ClockInstant,
    config::VersionStamp,
    ids::{DataCentre, IncarnationNumber, MeshName, NodeName},
    member::{BackendRow, MemberState},
    spread::SpreadNode,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::node::{NodeState, PlatformHealth};

/// What a node says of itself and of the members that it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
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
    /// Instant of the report.
    pub now: ClockInstant,
    /// Whether the platform does not answer.
    pub is_platform_away: bool,
    /// What is known of the platform: `unknown`, `reachable` or `away`.
    pub platform: CompactString,
    /// Whether no other data centre has been heard from for a while.
    pub is_cut_off: bool,
    /// Data centres that have not been heard from for a while.
    pub silent_data_centres: Vec<DataCentre>,
    /// Whether this node reads the platform's version row for its data centre.
    pub is_reader: bool,
    /// Versions that this node refused, each with the reason.
    pub refused: Vec<RefusedStatus>,
    /// Members that the node knows, itself among them.
    pub members: Vec<MemberStatus>,
}

/// A version that a node refused as a whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefusedStatus {
    /// Version.
    pub version: VersionStamp,
    /// Why it was refused.
    pub reason: CompactString,
}

/// What a node knows of a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
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

impl StatusReport {
    /// Takes the report of a node.
    #[must_use]
    pub fn of(state: &NodeState) -> Self {
        let members = state.members();
        let settings = &state.settings;
        let now = state.now();
        let spread = &state.spread;
        Self {
            mesh: settings.mesh.clone(),
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: state.incarnation(),
            state: state.member_state(),
            callers: state.addresses.callers,
            version: state.config().map(|config| config.stamp()),
            applied_at: state.applied_at(),
            now,
            is_platform_away: state.platform_health() == PlatformHealth::Away,
            platform: spread.read(|node| node.platform_state(now).name().into()),
            is_cut_off: spread.read(|node| node.is_cut_off(now)),
            silent_data_centres: spread.read(|node| node.silent_centres(now)),
            is_reader: spread.read(SpreadNode::is_reader),
            refused: spread.read(refused_versions),
            members: members
                .iter()
                .map(|row| MemberStatus {
                    node: row.node.clone(),
                    data_centre: row.data_centre.clone(),
                    state: row.state,
                    backends: row.backends.clone(),
                })
                .collect(),
        }
    }
}

fn refused_versions(node: &SpreadNode) -> Vec<RefusedStatus> {
    node.refused()
        .iter()
        .map(|(version, error)| RefusedStatus {
            version: *version,
            reason: error.message().into(),
        })
        .collect()
}
