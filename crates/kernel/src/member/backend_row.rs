use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, BuildVersion, RouteName, ServiceName, SlotCount},
};

/// Lifecycle of a backend server, as announced by itself or seen by the node beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Not ready for work yet.
    Starting,
    /// Takes work.
    Serving,
    /// Finishes its requests in flight and takes no new work.
    Draining,
}

/// What every node knows of a backend server beside another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRow {
    /// Name of the backend server.
    pub name: BackendName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of the software that it runs.
    pub version: BuildVersion,
    /// Requests that it runs at once.
    pub slots: SlotCount,
    /// Its lifecycle.
    pub state: BackendState,
    /// Whether it calls itself healthy.
    pub is_reported_healthy: bool,
    /// Instant until which it is slow after its start, where it tells; by the clock of the node
    /// beside it.
    pub cold_until: Option<ClockInstant>,
    /// Time that requests of its busiest routes take in a slot, roughly.
    pub times: BTreeMap<RouteName, TimeBudget>,
}
