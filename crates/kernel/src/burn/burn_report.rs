use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::{
    burn::{BurnCell, BurnKey, NodeBurn},
    clock::{ClockInstant, TimeBudget},
    config::RouteObjective,
    ids::{RouteName, ServiceName},
};

const SHORT_WINDOW: TimeBudget = TimeBudget::from_secs(300);
const LONG_WINDOW: TimeBudget = TimeBudget::from_secs(3_600);
const NO_VERSION: &str = "no answer";
const NO_MOVE: &str = "no move";

/// Request count of a window, with its burn rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// The count.
    pub cell: BurnCell,
    /// Ratio of the bad requests to those that the objective allows; at 1 the budget is spent
    /// exactly.
    pub rate: f64,
}

/// Bad requests of the long window with a common property.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnSpend {
    /// Name of the version, move or data centre.
    pub name: CompactString,
    /// The count.
    pub cell: BurnCell,
    /// Fraction of the window's budget that they spent; above 1 it is overspent.
    pub budget_part: f64,
}

/// Error budget burn of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Service that the route points at.
    pub service: ServiceName,
    /// Name of the route.
    pub route: RouteName,
    /// Objective of the route.
    pub objective: RouteObjective,
    /// The last five minutes.
    pub short: BurnWindow,
    /// The last hour.
    pub long: BurnWindow,
    /// Budget spent by each version.
    pub versions: Vec<BurnSpend>,
    /// Budget spent during each version move.
    pub moves: Vec<BurnSpend>,
    /// Budget spent on requests that entered the mesh in each data centre.
    pub data_centres: Vec<BurnSpend>,
    /// Counts by minute.
    pub minutes: BTreeMap<ClockInstant, BurnCell>,
}

/// Error budget burn of the routes with requests and an objective, from the nodes that responded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report.
    pub now: ClockInstant,
    /// Number of nodes that responded.
    pub nodes: usize,
    /// One line per route, ordered by service and route.
    pub lines: Vec<BurnLine>,
    /// Descriptions of the nodes without a response.
    pub not_heard: Vec<CompactString>,
}

impl BurnReport {
    /// Builds the report from the counts of the nodes.
    #[must_use]
    pub fn from_nodes(
        nodes: &[NodeBurn],
        not_heard: Vec<CompactString>,
        now: ClockInstant,
    ) -> Self {
        let mut builders: BTreeMap<(ServiceName, RouteName), LineBuilder> = BTreeMap::new();
        let mut objectives = BTreeMap::new();
        for node in nodes {
            objectives.extend(node.objectives.clone());
            for row in &node.rows {
                let key = (row.key.service.clone(), row.key.route.clone());
                let builder = builders.entry(key).or_default();
                // The age is computed from the node's own clock, so clock skew has no effect.
                let age = row.minute.elapsed(node.now);
                builder.add(&row.key, row.cell, age, node.data_centre.as_str());
                let minute = now.before(age);
                let minute = ClockInstant::from_millis(minute.as_millis() / 60_000 * 60_000);
                builder.minutes.entry(minute).or_default().add(row.cell);
            }
        }
        let line = |((service, route), builder): ((ServiceName, RouteName), LineBuilder)| {
            let objective = objectives.get(&route)?.clone();
            Some(builder.finish(service, route, objective))
        };
        Self {
            now,
            nodes: nodes.len(),
            lines: builders.into_iter().filter_map(line).collect(),
            not_heard,
        }
    }
}

#[derive(Debug, Default)]
struct LineBuilder {
    short: BurnCell,
    long: BurnCell,
    versions: BTreeMap<CompactString, BurnCell>,
    moves: BTreeMap<CompactString, BurnCell>,
    data_centres: BTreeMap<CompactString, BurnCell>,
    minutes: BTreeMap<ClockInstant, BurnCell>,
}

impl LineBuilder {
    fn add(&mut self, key: &BurnKey, cell: BurnCell, age: TimeBudget, data_centre: &str) {
        if age <= SHORT_WINDOW {
            self.short.add(cell);
        }
        if age > LONG_WINDOW {
            return;
        }
        self.long.add(cell);
        let version = key
            .version
            .as_ref()
            .map_or(NO_VERSION, |name| name.as_str());
        let running_move = key
            .running_move
            .map_or_else(|| NO_MOVE.into(), |number| format_compact!("move {number}"));
        let counts = [
            (&mut self.versions, CompactString::from(version)),
            (&mut self.moves, running_move),
            (&mut self.data_centres, CompactString::from(data_centre)),
        ];
        for (map, name) in counts {
            map.entry(name).or_default().add(cell);
        }
    }

    fn finish(self, service: ServiceName, route: RouteName, objective: RouteObjective) -> BurnLine {
        let allowed = 1.0 - objective.success.as_f64();
        let window = |cell: BurnCell| BurnWindow {
            cell,
            rate: budget_ratio(cell.bad_share(), allowed),
        };
        let budget = self.long.requests as f64 * allowed;
        let spends = |map: BTreeMap<CompactString, BurnCell>| {
            map.into_iter()
                .map(|(name, cell)| BurnSpend {
                    name,
                    cell,
                    budget_part: budget_ratio(cell.bad as f64, budget),
                })
                .collect()
        };
        BurnLine {
            service,
            route,
            short: window(self.short),
            long: window(self.long),
            versions: spends(self.versions),
            moves: spends(self.moves),
            data_centres: spends(self.data_centres),
            minutes: self.minutes,
            objective,
        }
    }
}

/// Returns the ratio of `spent` to `allowed`.
///
/// An objective of 100% allows no errors, so any bad request then counts as the whole budget.
fn budget_ratio(spent: f64, allowed: f64) -> f64 {
    const MIN_ALLOWED: f64 = 1e-9;
    if spent <= 0.0 {
        0.0
    } else if allowed <= MIN_ALLOWED {
        1.0
    } else {
        spent / allowed
    }
}
