use std::net::SocketAddr;

use bronzelb_kernel::{
    clock::TimeBudget,
    ids::{DataCentre, MeshName, NodeName, ServiceName},
    plugin::WireDialect,
    request::RetryPolicy,
    spread::SpreadMode,
};
use bronzelb_wire::handshake::MeshKey;
use compact_str::CompactString;

use crate::settings::OperatorToken;

/// Everything that a node learns from its settings file.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Mesh that the node belongs to.
    pub mesh: MeshName,
    /// Name of the node, unique in the mesh.
    pub node: NodeName,
    /// Data centre that the node's VM is in.
    pub data_centre: DataCentre,
    /// Secret that every node of the mesh shares.
    pub mesh_key: MeshKey,
    /// How callers, backend servers and the VM's supervisor speak to the node.
    pub dialect: &'static WireDialect,
    /// Every data centre of the mesh, where operators' documents do not name them.
    pub data_centres: Vec<DataCentre>,
    /// Listener for callers.
    pub callers: CallerSettings,
    /// Listener for other nodes.
    pub peers: PeerSettings,
    /// Listeners for the backend servers and the supervisor of the VM, in the dialect's terms.
    pub local: Option<LocalSettings>,
    /// Listener for metrics alone, which other machines may read; the operators' has them as well.
    pub metrics: Option<SocketAddr>,
    /// Budget of retries that all nodes share; without one, each node has a budget of its own.
    pub retries: Option<RetryPolicy>,
    /// Time that a graceful shutdown may take; without it, requests in flight decide.
    pub shutdown: Option<TimeBudget>,
    /// Listener for operators and for the backend servers of the VM.
    pub operators: OperatorSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// How versions spread; for measurements only.
    pub spread: SpreadSettings,
    /// Worker threads of the listener for callers.
    pub workers: usize,
}

/// Settings of the listener for callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Service that runs on the node's VM, from which its callers' requests come.
    pub origin: Option<ServiceName>,
}

/// Settings of the listeners for the backend servers and the supervisor of the VM.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// Address for announcements of backend servers.
    pub announcements: SocketAddr,
    /// Address for the supervisor's readiness check.
    pub ready: SocketAddr,
    /// Time for which an announcement holds.
    pub lease: TimeBudget,
}

/// Settings of the listener for other nodes.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address to listen on; outgoing connections leave from its IP number.
    pub listen: SocketAddr,
    /// Address that other nodes connect to, where it differs from the listener's.
    pub advertise: Option<SocketAddr>,
    /// Nodes to contact first.
    pub first: Vec<SocketAddr>,
}

/// Settings of the listener for operators.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Token that every request from outside the VM carries.
    pub token: Option<OperatorToken>,
}

/// Where the platform's table service and object store are.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Name of the registered kind of platform client.
    pub kind: CompactString,
    /// Address of the services.
    pub address: SocketAddr,
}

/// Settings by which measurements compare ways of spreading.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpreadSettings {
    /// How versions spread.
    pub mode: SpreadMode,
}
