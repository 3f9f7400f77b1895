use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, BuildVersion, ServiceName, SlotCount},
    member::BackendState,
};

/// What a backend server announces of itself to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service that the server runs.
    pub service: ServiceName,
    /// Version of the software that it runs.
    pub version: BuildVersion,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: u32,
    /// Its lifecycle.
    pub state: BackendState,
}

/// One run of a backend server process: later runs at the same address start later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendIncarnation {
    /// When the process started, by its own clock.
    pub started_at: ClockInstant,
}

/// What a backend server tells the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// A heartbeat: the server lives and describes itself.
    Heartbeat(BackendHeartbeat),
    /// The server leaves and takes no new work.
    Leaving {
        /// Name of the server.
        name: BackendName,
        /// Run that leaves, if the server said so.
        incarnation: Option<BackendIncarnation>,
    },
}

/// A heartbeat of a backend server, with its place among the server's other heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendHeartbeat {
    /// Name of the server.
    pub name: BackendName,
    /// Run of the server's process.
    pub incarnation: BackendIncarnation,
    /// Number of the heartbeat within the run; a late one has a lower number.
    pub sequence: u64,
    /// Time for which the server stays slow after its start.
    pub warm_up: TimeBudget,
    /// What the server says of itself.
    pub announcement: BackendAnnouncement,
}
