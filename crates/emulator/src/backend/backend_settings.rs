use std::{net::SocketAddr, path::PathBuf};

use bronzelb_kernel::{
    clock::TimeBudget,
    ids::{BackendName, BuildVersion, ServiceName, SlotCount},
};

/// How a backend stand-in behaves from its start.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Name under which the server announces itself.
    pub name: BackendName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of the software that it claims to run.
    pub version: BuildVersion,
    /// Address to serve requests and reports on.
    pub listen: SocketAddr,
    /// Address to announce in place of the listener's own, such as one of a fault proxy.
    pub advertise: Option<SocketAddr>,
    /// Address of the faults and the tally.
    pub control: SocketAddr,
    /// Operators' listener of the node beside it; without one it does not announce itself.
    pub node: Option<SocketAddr>,
    /// Callers' listener of a node, for requests that call further services.
    pub callers: Option<SocketAddr>,
    /// Requests that run at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Time that a request occupies a slot.
    pub service_time: TimeBudget,
    /// Time after the start for which requests are slow.
    pub cold_time: TimeBudget,
    /// Time that a request takes in addition while the server is cold.
    pub cold_latency: TimeBudget,
    /// Time after the start at which the server announces itself as serving.
    pub start_time: TimeBudget,
    /// Longest time that a leaving server waits for its requests in flight.
    pub drain_time: TimeBudget,
    /// File to which each run is appended before it starts.
    pub journal: Option<PathBuf>,
}
