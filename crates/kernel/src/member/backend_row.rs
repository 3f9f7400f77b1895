use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, BuildVersion, RouteName, ServiceName, SlotCount},
    member::{BackendIncarnation, StatedLimit},
};

/// Lifecycle state of a backend server, as announced by the server or observed by its local node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Not ready for requests yet.
    Starting,
    /// Accepts requests.
    Serving,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
}

/// Replicated state of a backend server, kept by every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRow {
    /// Name of the backend server.
    pub name: BackendName,
    /// Incarnation of the server process; the default if the server does not state it.
    pub incarnation: BackendIncarnation,
    /// Service that it provides.
    pub service: ServiceName,
    /// Version of its software.
    pub version: BuildVersion,
    /// Number of requests that it processes concurrently.
    pub slots: SlotCount,
    /// Lifecycle state.
    pub state: BackendState,
    /// Whether it reports itself healthy.
    pub is_reported_healthy: bool,
    /// Rate limit that it states, for the requests of all nodes together.
    pub limit: StatedLimit,
    /// End of its warm-up after a start, by the clock of its local node; absent if it reports none.
    pub cold_until: Option<ClockInstant>,
    /// Approximate service time per request on its busiest routes.
    pub times: BTreeMap<RouteName, TimeBudget>,
}

impl BackendRow {
    /// Returns whether this row differs from `held` at most in the reported health, the limit, the
    /// warm-up and the service times.
    pub(crate) fn differs_in_hints_only(&self, held: &Self) -> bool {
        self.name == held.name
            && self.incarnation == held.incarnation
            && self.service == held.service
            && self.version == held.version
            && self.slots == held.slots
            && self.state == held.state
    }
}
