use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::RouteObjective,
    ids::{BuildVersion, DataCentre, MoveNumber, NodeName, RouteName, ServiceName},
};

const MINUTE: TimeBudget = TimeBudget::from_secs(60);
/// The current minute and the 60 before it.
const MAX_MINUTES: usize = 61;
const MAX_KEYS_PER_MINUTE: usize = 2_048;

/// Key of a request count.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BurnKey {
    /// Route of the requests.
    pub route: RouteName,
    /// Service that the route points at.
    pub service: ServiceName,
    /// Version that responded, if any.
    pub version: Option<BuildVersion>,
    /// Move of the service that was running, if any.
    pub running_move: Option<MoveNumber>,
}

/// Number of requests and of those that violated their route's objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCell {
    /// All requests.
    pub requests: u64,
    /// Requests that failed or were slower than the objective's latency.
    pub bad: u64,
}

/// Request count of one key in one minute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Start of the minute.
    pub minute: ClockInstant,
    /// Key of the count.
    pub key: BurnKey,
    /// The count.
    pub cell: BurnCell,
}

/// Request counts of a node, as returned by `GET /v1/burn`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBurn {
    /// Name of the node.
    pub node: NodeName,
    /// Data centre in which the requests entered the mesh.
    pub data_centre: DataCentre,
    /// Time of the response, by the node's clock.
    pub now: ClockInstant,
    /// Objectives of the routes in the active version of the configuration.
    pub objectives: BTreeMap<RouteName, RouteObjective>,
    /// Counts of the last hour.
    pub rows: Vec<BurnRow>,
}

/// Counts of client requests by minute, for the last hour.
///
/// Memory is bounded: minutes older than an hour are dropped, and a minute with the maximum number
/// of keys ignores requests with further keys.
#[derive(Clone, Debug, Default)]
pub struct BurnTable {
    minutes: BTreeMap<ClockInstant, BTreeMap<BurnKey, BurnCell>>,
}

impl BurnCell {
    /// Adds another count.
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.bad += other.bad;
    }

    /// Returns the fraction of bad requests, or zero without requests.
    #[must_use]
    pub fn bad_share(self) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        self.bad as f64 / self.requests as f64
    }
}

impl BurnTable {
    /// Records one request that ended at `now`.
    pub fn record(&mut self, key: BurnKey, is_bad: bool, now: ClockInstant) {
        let minute = minute_of(now);
        let keys = self.minutes.entry(minute).or_default();
        if keys.len() >= MAX_KEYS_PER_MINUTE && !keys.contains_key(&key) {
            return;
        }
        keys.entry(key).or_default().add(BurnCell {
            requests: 1,
            bad: u64::from(is_bad),
        });
        while self.minutes.len() > MAX_MINUTES {
            self.minutes.pop_first();
        }
    }

    /// Returns the counts of the last hour.
    #[must_use]
    pub fn rows(&self, now: ClockInstant) -> Vec<BurnRow> {
        let first = minute_of(now.before(TimeBudget::from_secs(3_600)));
        let minutes = self.minutes.range(first..);
        minutes
            .flat_map(|(minute, keys)| keys.iter().map(|(key, cell)| (*minute, key, *cell)))
            .map(|(minute, key, cell)| BurnRow {
                minute,
                key: key.clone(),
                cell,
            })
            .collect()
    }
}

fn minute_of(instant: ClockInstant) -> ClockInstant {
    let micros = instant.as_micros();
    ClockInstant::from_micros(micros - micros % MINUTE.as_micros())
}
