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

/// Requests of a window, and how fast they spend the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// The count.
    pub cell: BurnCell,
    /// Share of bad requests against the share that the objective allows; 1 spends exactly the
    /// budget.
    pub rate: f64,
}

/// Bad requests of the long window that have something in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnSpend {
    /// What they have in common: a version, a move or a data centre.
    pub name: CompactString,
    /// The count.
    pub cell: BurnCell,
    /// Part of the window's budget that they spent; above 1 it is overspent.
    pub budget_part: f64,
}

/// Burn of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Service that the route points at.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// What the answers promise.
    pub objective: RouteObjective,
    /// The last five minutes.
    pub short: BurnWindow,
    /// The last hour.
    pub long: BurnWindow,
    /// What each version spent.
    pub versions: Vec<BurnSpend>,
    /// What was spent during each version move.
    pub moves: Vec<BurnSpend>,
    /// What was spent on requests that entered in each data centre.
    pub data_centres: Vec<BurnSpend>,
    /// Count of each minute.
    pub minutes: BTreeMap<ClockInstant, BurnCell>,
}

/// Burn of every route with requests or an objective, from the nodes that answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Instant of the report.
    pub now: ClockInstant,
    /// Nodes that answered.
    pub nodes: usize,
    /// One line a route, by service and route.
    pub lines: Vec<BurnLine>,
    /// What could not be heard.
    pub not_heard: Vec<CompactString>,
}

impl BurnReport {
    /// Puts together what the nodes counted.
    #[must_use]
    pub fn from_nodes(
        nodes: &[NodeBurn],
        not_heard: Vec<CompactString>,
        now: ClockInstant,
    ) -> Self {
        let mut drafts: BTreeMap<(ServiceName, RouteName), LineDraft> = BTreeMap::new();
        let mut objectives = BTreeMap::new();
        for node in nodes {
            objectives.extend(node.objectives.clone());
            for row in &node.rows {
                let place = (row.key.service.clone(), row.key.route.clone());
                let draft = drafts.entry(place).or_default();
                // Ages are by the node's own clock, so that clocks that differ do no harm.
                let age = row.minute.elapsed(node.now);
                draft.add(&row.key, row.cell, age, node.data_centre.as_str());
                let minute = now.before(age);
                let minute = ClockInstant::from_millis(minute.as_millis() / 60_000 * 60_000);
                draft.minutes.entry(minute).or_default().add(row.cell);
            }
        }
        let line = |((service, route), draft): ((ServiceName, RouteName), LineDraft)| {
            let objective = objectives.get(&route)?.clone();
            Some(draft.finish(service, route, objective))
        };
        Self {
            now,
            nodes: nodes.len(),
            lines: drafts.into_iter().filter_map(line).collect(),
            not_heard,
        }
    }
}

#[derive(Debug, Default)]
struct LineDraft {
    short: BurnCell,
    long: BurnCell,
    versions: BTreeMap<CompactString, BurnCell>,
    moves: BTreeMap<CompactString, BurnCell>,
    data_centres: BTreeMap<CompactString, BurnCell>,
    minutes: BTreeMap<ClockInstant, BurnCell>,
}

impl LineDraft {
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
            rate: part_of(cell.bad_share(), allowed),
        };
        let budget = self.long.requests as f64 * allowed;
        let spends = |map: BTreeMap<CompactString, BurnCell>| {
            map.into_iter()
                .map(|(name, cell)| BurnSpend {
                    name,
                    cell,
                    budget_part: part_of(cell.bad as f64, budget),
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

/// Returns `spent` against `allowed`; an objective of 100% allows nothing, so any bad request
/// then counts as a whole budget.
fn part_of(spent: f64, allowed: f64) -> f64 {
    const NOTHING: f64 = 1e-9;
    if spent <= 0.0 {
        0.0
    } else if allowed <= NOTHING {
        1.0
    } else {
        spent / allowed
    }
}
