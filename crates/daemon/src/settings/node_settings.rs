use std::net::SocketAddr;

use bronzelb_kernel::{
    account::UsageBound,
    clock::TimeBudget,
    config::CallerLimits,
    holding::HoldingLimits,
    ids::{ByteCount, DataCentre, MeshName, NodeName, ServiceName},
    plugin::WireDialect,
    request::RetryPolicy,
    rollout::ExposureLimit,
    spread::SpreadMode,
};
use bronzelb_wire::handshake::MeshKey;
use compact_str::CompactString;

use crate::settings::OperatorToken;

/// Settings of a node, as read from its settings file.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Mesh that the node belongs to.
    pub mesh: MeshName,
    /// Name of the node, unique in the mesh.
    pub node: NodeName,
    /// Data centre of the node's VM.
    pub data_centre: DataCentre,
    /// Secret shared by all nodes of the mesh.
    pub mesh_key: MeshKey,
    /// Wire dialect of callers, backend servers and the VM's supervisor.
    pub dialect: &'static WireDialect,
    /// All data centres of the mesh, for platforms whose operators' documents do not name them.
    pub data_centres: Vec<DataCentre>,
    /// Limits of the VM, and what clients may hold of it.
    pub holding: HoldingLimits,
    /// Listener for callers.
    pub callers: CallerSettings,
    /// Listener for other nodes.
    pub peers: PeerSettings,
    /// Listeners on which the backend servers and the supervisor of the VM use the dialect.
    pub local: Option<LocalSettings>,
    /// Address of a listener that serves only metrics and needs no token; the operator listener
    /// serves them too.
    pub metrics: Option<SocketAddr>,
    /// Retry budget shared by all nodes; without it, each node has its own.
    pub retries: Option<RetryPolicy>,
    /// Bound on how far client accounts may exceed their usage caps.
    pub usage: UsageBound,
    /// Limit of the requests that a faulty version may get; without it, a move is not limited.
    pub exposure_limit: Option<ExposureLimit>,
    /// Time limit of a graceful shutdown; without it, the requests in flight determine its length.
    pub shutdown: Option<TimeBudget>,
    /// Whether the whole mesh starts for the first time, so that no node can hold a version yet.
    pub is_first_start: bool,
    /// Listener for operators and for the backend servers of the VM.
    pub operators: OperatorSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Gossip mode; only for measurements.
    pub spread: SpreadSettings,
    /// Worker threads of the listener for callers.
    pub workers: usize,
}

/// Settings of the listener for callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Service on the node's VM that sends its callers' requests.
    pub origin: Option<ServiceName>,
    /// Limits in place of those that the configuration states.
    pub limits: LimitSettings,
}

/// Limits of callers' connections; those of the configuration apply where there are none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitSettings {
    /// Size of a request's header fields.
    pub max_header: Option<ByteCount>,
    /// Time in which the head of a request arrives.
    pub header_timeout: Option<TimeBudget>,
    /// Time for which a connection may be idle.
    pub idle_timeout: Option<TimeBudget>,
}

impl LimitSettings {
    /// Returns the limits in force where the configuration states `limits`.
    #[must_use]
    pub fn or(&self, limits: CallerLimits) -> CallerLimits {
        CallerLimits {
            max_header: self.max_header.unwrap_or(limits.max_header),
            header_timeout: self.header_timeout.unwrap_or(limits.header_timeout),
            idle_timeout: self.idle_timeout.unwrap_or(limits.idle_timeout),
        }
    }
}

/// Settings of the listeners for the backend servers and the supervisor of the VM.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// Address for announcements of backend servers.
    pub announcements: SocketAddr,
    /// Address for the supervisor's readiness check.
    pub ready: SocketAddr,
    /// Time for which an announcement is valid.
    pub lease: TimeBudget,
    /// Whether a backend server that is full does not answer, so that a node that has just started
    /// must leave slots to the requests of its predecessor.
    pub is_silent_when_full: bool,
}

/// Settings of the listener for other nodes.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address to listen on; outgoing connections bind to its IP address.
    pub listen: SocketAddr,
    /// Address that other nodes connect to, where it differs from the listener's.
    pub advertise: Option<SocketAddr>,
    /// Seed nodes to contact at start.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of the listener for operators.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Token required in every request from outside the VM.
    pub token: Option<OperatorToken>,
}

/// Location of the platform's table service and object store.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Name of the registered kind of platform client.
    pub kind: CompactString,
    /// Address of the services.
    pub address: SocketAddr,
}

/// Settings that let measurements compare gossip modes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpreadSettings {
    /// How versions are distributed between nodes.
    pub mode: SpreadMode,
}
