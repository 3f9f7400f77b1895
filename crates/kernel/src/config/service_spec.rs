use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeBudget,
    config::ShareRatio,
    ids::{CrewName, SlotCount},
};

/// A service: what its backend servers bear, and how their versions are moved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Crew that owns the service, if the mesh serves several.
    pub crew: Option<CrewName>,
    /// Requests that one backend server runs at once.
    pub slots: SlotCount,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Name of the registered reader for the backend servers' health and load reports.
    pub report_format: CompactString,
    /// Time over which a new backend server's share of the load rises to its full share.
    pub slow_start: TimeBudget,
    /// Time that a draining backend server gets for its requests in flight.
    pub drain: TimeBudget,
    /// How a version move of this service proceeds.
    pub rollout: RolloutRule,
}

/// How the version moves of a service proceed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRule {
    /// Share of the traffic that an unproved version gets.
    pub first_share: ShareRatio,
    /// Requests per route that are needed before the share rises above the first one.
    pub min_requests: u32,
    /// Time for which the evidence must hold at full share before a move is done.
    pub hold: TimeBudget,
}
