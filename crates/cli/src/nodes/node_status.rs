use bronzelb_kernel::{
    clock::ClockInstant,
    config::VersionStamp,
    ids::{DataCentre, MeshName, NodeName},
    member::{BackendRow, MemberState},
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Part of a node's answer to `GET /v1/status` that commands use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    /// Mesh that the node belongs to.
    pub(crate) mesh: MeshName,
    /// Name of the node.
    pub(crate) node: NodeName,
    /// Data centre of the node.
    pub(crate) data_centre: DataCentre,
    /// Lifecycle of the node.
    pub(crate) state: MemberState,
    /// Configuration version in force.
    pub(crate) version: Option<VersionStamp>,
    /// Instant at which it came into force, by the node's clock.
    pub(crate) applied_at: ClockInstant,
    /// Instant of the answer, by the node's clock.
    pub(crate) now: ClockInstant,
    /// Whether the platform does not answer the node.
    pub(crate) is_platform_away: bool,
    /// Whether the node hears neither the platform nor other data centres.
    #[serde(default)]
    pub(crate) is_cut_off: bool,
    /// Data centres that the node does not hear.
    #[serde(default)]
    pub(crate) silent_data_centres: Vec<DataCentre>,
    /// Versions that the node refused, and why.
    #[serde(default)]
    pub(crate) refused: Vec<RefusedVersion>,
    /// Members that the node knows, itself among them.
    pub(crate) members: Vec<MemberStatus>,
}

/// A version that a node refused as a whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RefusedVersion {
    /// The version.
    pub(crate) version: VersionStamp,
    /// Why it was refused.
    pub(crate) reason: CompactString,
}

/// What a node knows of a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MemberStatus {
    /// Name of the member.
    pub(crate) node: NodeName,
    /// Data centre of the member.
    pub(crate) data_centre: DataCentre,
    /// Lifecycle of the member.
    pub(crate) state: MemberState,
    /// Backend servers beside the member.
    #[serde(default)]
    pub(crate) backends: Vec<BackendRow>,
}
