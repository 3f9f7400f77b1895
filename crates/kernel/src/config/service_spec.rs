use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeBudget,
    config::ShareRatio,
    ids::{CrewName, RequestRate, SlotCount},
};

/// A service: the capacity of its backend servers, and how new versions are rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Crew that owns the service, if the mesh has several crews.
    pub crew: Option<CrewName>,
    /// Requests that one backend server handles concurrently.
    pub slots: SlotCount,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Name of the registered reader of the backend servers' health and load reports.
    pub report_format: CompactString,
    /// Time over which the load of a new backend server ramps up to its full share.
    pub slow_start: TimeBudget,
    /// Time that a draining backend server has to finish its requests in flight.
    pub drain: TimeBudget,
    /// Rules for the version moves of this service.
    pub rollout: RolloutRule,
    /// Limits of a backend server that warms up; `None` if the service declares none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUpRule>,
    /// Path of the backend servers' health check, if the operators declare it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<CompactString>,
}

/// Used until a server's own announcement states its slots.
const DEFAULT_SLOTS: SlotCount = SlotCount::new(1);
/// Allows a new server to fill its caches and open its connections.
const DEFAULT_SLOW_START: TimeBudget = TimeBudget::from_secs(2);
const DEFAULT_DRAIN: TimeBudget = TimeBudget::from_secs(2);
/// A bad version at this share affects few requests and is still detected within seconds.
const DEFAULT_FIRST_SHARE: ShareRatio = ShareRatio::from_ppm(50_000);
/// Enough requests to detect a version that fails half of them.
const DEFAULT_MIN_REQUESTS: u32 = 10;
/// Time for which the new version handles all traffic before the move is done.
const DEFAULT_HOLD: TimeBudget = TimeBudget::from_millis(1_500);

impl ServiceSpec {
    /// Builds the spec of a service for which only the connections per server are declared.
    ///
    /// Slots come from each server's own announcement, and no reports are read.
    #[must_use]
    pub fn with_defaults(connections: u32) -> Self {
        Self {
            crew: None,
            slots: DEFAULT_SLOTS,
            connections,
            report_format: CompactString::default(),
            slow_start: DEFAULT_SLOW_START,
            drain: DEFAULT_DRAIN,
            rollout: RolloutRule {
                first_share: DEFAULT_FIRST_SHARE,
                min_requests: DEFAULT_MIN_REQUESTS,
                hold: DEFAULT_HOLD,
            },
            warm_up: None,
            health_path: None,
        }
    }
}

/// Rules for the version moves of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRule {
    /// Share of the traffic that an unverified version receives.
    pub first_share: ShareRatio,
    /// Requests per route that are required before the share rises above `first_share`.
    pub min_requests: u32,
    /// Time for which a version must stay healthy at full share before the move is done.
    pub hold: TimeBudget,
}

impl WarmUpRule {
    /// Cold time of a service that declares only the rate: that of the users' deployments.
    pub const DEFAULT_TIME: TimeBudget = TimeBudget::from_secs(3);
}

/// Limits of a backend server while it warms up after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUpRule {
    /// Time for which a server is cold after a start.
    pub time: TimeBudget,
    /// Rate of requests that a cold server bears from all nodes together; never zero.
    pub rate: RequestRate,
}
