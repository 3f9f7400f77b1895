use std::{net::SocketAddr, path::PathBuf};

use bronzelb_kernel::{
    clock::TimeBudget,
    ids::{BackendName, BuildVersion, ServiceName, SlotCount},
};

/// Startup settings of a backend stand-in.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Name under which the server announces itself.
    pub name: BackendName,
    /// Service that the server implements.
    pub service: ServiceName,
    /// Software version that the server reports.
    pub version: BuildVersion,
    /// Listen address for requests and reports.
    pub listen: SocketAddr,
    /// Address to announce instead of the listen address, such as that of a fault proxy.
    pub advertise: Option<SocketAddr>,
    /// Address of the control listener, which sets faults and returns the tally.
    pub control: SocketAddr,
    /// Operators' listener of the co-located node; `None` disables announcements.
    pub node: Option<SocketAddr>,
    /// Callers' listener of a node, used by requests that call further services.
    pub callers: Option<SocketAddr>,
    /// Number of requests that run concurrently.
    pub slots: SlotCount,
    /// Number of connections that the server announces as its limit.
    pub connections: u32,
    /// Number of requests that can wait for a slot; the server sheds the rest.
    pub queue: u32,
    /// Time that a request occupies a slot.
    pub service_time: TimeBudget,
    /// Duration of the cold phase after startup, in which requests take longer.
    pub cold_time: TimeBudget,
    /// Additional time that a request takes during the cold phase.
    pub cold_latency: TimeBudget,
    /// Time from startup until the server announces itself as serving.
    pub start_time: TimeBudget,
    /// Maximum time that a draining server waits for its requests in flight.
    pub drain_time: TimeBudget,
    /// Journal file; each run is appended before it starts.
    pub journal: Option<PathBuf>,
}
