use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{BackendName, BuildVersion, ServiceName, SlotCount},
    member::{BackendState, StatedCold},
};

/// Self-description that a backend server sends to its local node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service that the server provides.
    pub service: ServiceName,
    /// Version of its software.
    pub version: BuildVersion,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of requests that it processes concurrently.
    pub slots: SlotCount,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Lifecycle state.
    pub state: BackendState,
}

/// Incarnation of a backend server process. Incarnations at the same address are ordered by their
/// start times.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BackendIncarnation {
    /// When the process started, by its own clock.
    pub started_at: ClockInstant,
}

/// Message from a backend server to its local node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// The server is alive and describes itself.
    Heartbeat(BackendHeartbeat),
    /// The server shuts down and accepts no new requests.
    Leaving {
        /// Name of the server.
        name: BackendName,
        /// Incarnation that shuts down, if the server stated it.
        incarnation: Option<BackendIncarnation>,
    },
}

/// Heartbeat of a backend server, with the fields that order it among the server's other
/// heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendHeartbeat {
    /// Name of the server.
    pub name: BackendName,
    /// Incarnation of the server process.
    pub incarnation: BackendIncarnation,
    /// Sequence number within the incarnation, by which late heartbeats are recognised.
    pub sequence: u64,
    /// Remaining time for which the server is cold.
    pub cold_left: StatedCold,
    /// Self-description of the server.
    pub announcement: BackendAnnouncement,
}
