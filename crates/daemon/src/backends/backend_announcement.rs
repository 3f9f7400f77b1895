use std::net::SocketAddr;

use bronzelb_kernel::{
    ids::{BuildVersion, ServiceName, SlotCount},
    member::BackendState,
};
use serde::{Deserialize, Serialize};

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
