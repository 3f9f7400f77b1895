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

/// Requests that a server runs at once where only its own announcements tell.
const UNDECLARED_SLOTS: SlotCount = SlotCount::new(1);
/// Time in which a new server fills its caches and connections.
const USUAL_SLOW_START: TimeBudget = TimeBudget::from_secs(2);
/// Time that a draining server gets for its requests in flight.
const USUAL_DRAIN: TimeBudget = TimeBudget::from_secs(2);
/// Share at which a bad version harms few requests and still shows within seconds.
const USUAL_FIRST_SHARE: ShareRatio = ShareRatio::from_ppm(50_000);
/// Requests after which a version that fails half the time has shown it.
const USUAL_MIN_REQUESTS: u32 = 10;
/// Time for which the new version takes all traffic before the move is done.
const USUAL_HOLD: TimeBudget = TimeBudget::from_millis(1_500);

impl ServiceSpec {
    /// Builds the spec of a service whose team declared only the connections of its servers.
    ///
    /// Slots come from each server's own announcement, and no reports are read.
    #[must_use]
    pub fn with_defaults(connections: u32) -> Self {
        Self {
            crew: None,
            slots: UNDECLARED_SLOTS,
            connections,
            report_format: CompactString::default(),
            slow_start: USUAL_SLOW_START,
            drain: USUAL_DRAIN,
            rollout: RolloutRule {
                first_share: USUAL_FIRST_SHARE,
                min_requests: USUAL_MIN_REQUESTS,
                hold: USUAL_HOLD,
            },
        }
    }
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
