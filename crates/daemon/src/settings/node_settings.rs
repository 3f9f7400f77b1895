use std::net::SocketAddr;

use bronzelb_kernel::{
    ids::{DataCentre, MeshName, NodeName},
    spread::SpreadMode,
};
use bronzelb_wire::handshake::MeshKey;
use compact_str::CompactString;
use serde::Deserialize;

const DEFAULT_WORKERS: usize = 1;

/// Everything that a node learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Mesh that the node belongs to.
    pub mesh: MeshName,
    /// Name of the node, unique in the mesh.
    pub node: NodeName,
    /// Data centre that the node's VM is in.
    pub data_centre: DataCentre,
    /// Secret that every node of the mesh shares.
    pub mesh_key: MeshKey,
    /// Listener for callers.
    pub callers: CallerSettings,
    /// Listener for other nodes.
    pub peers: PeerSettings,
    /// Listener for operators and for the backend servers of the VM.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// How versions spread; for measurements only.
    #[serde(default)]
    pub spread: SpreadSettings,
    /// Worker threads of the listener for callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
}

/// Settings of the listener for callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// Settings of the listener for other nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on; outgoing connections leave from its IP number.
    pub listen: SocketAddr,
    /// Address that other nodes connect to, where it differs from the listener's.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Nodes to contact first.
    #[serde(default)]
    pub first: Vec<SocketAddr>,
}

/// Settings of the listener for operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Token that every request from outside the VM carries.
    #[serde(default)]
    pub token: Option<CompactString>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            token: None,
        }
    }
}

/// Where the platform's table service and object store are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Name of the registered kind of platform client.
    pub kind: CompactString,
    /// Address of the services.
    pub address: SocketAddr,
}

/// Settings by which measurements compare ways of spreading.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpreadSettings {
    /// How versions spread.
    pub mode: SpreadMode,
}

fn default_workers() -> usize {
    DEFAULT_WORKERS
}
