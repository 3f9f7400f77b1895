use std::{cmp::Ordering, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{BackendName, DataCentre, IncarnationNumber, MoveNumber, NodeName, RouteName},
    rollout::{LatencyHistogram, OutcomeReport},
};

/// Which of a move's two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionSide {
    /// The version that the traffic leaves.
    Old,
    /// The version that the traffic goes to.
    New,
}

/// What one count of evidence is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// Route of the requests.
    pub route: RouteName,
    /// Version that they ran on.
    pub side: VersionSide,
    /// Backend server that they ran on.
    pub backend: BackendName,
}

/// Outcomes of a route's requests on one backend server; every count only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// Requests that count as evidence.
    pub requests: u64,
    /// Those among them that failed.
    pub failures: u64,
    /// Latencies of those that were served by a warm server.
    pub latency: LatencyHistogram,
}

impl EvidenceCell {
    /// Adds the counts of another cell.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        for (bucket, count) in other.latency.iter() {
            self.latency.add(bucket, count);
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            latency: self.latency.since(&earlier.latency),
        }
    }
}

/// Slot of one run of a node, or of a data centre: what a restarted node counted before stays
/// counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceSource {
    /// Name of the node.
    pub node: NodeName,
    /// Run of the node.
    pub incarnation: IncarnationNumber,
}

impl EvidenceSource {
    /// Returns the slot of the sum of a data centre's nodes.
    #[must_use]
    pub fn of_data_centre(centre: &DataCentre) -> Self {
        let name = centre.as_str().parse();
        Self {
            node: name.expect("a data centre's name follows the same rule as a node's"),
            incarnation: IncarnationNumber::new(0),
        }
    }
}

/// What one run of a node saw of one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvidence {
    /// Whose evidence it is.
    #[serde(rename = "slot")]
    pub source: EvidenceSource,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Move that the evidence is about.
    pub number: MoveNumber,
    /// When the counts were taken, by the node's clock.
    pub taken_at: ClockInstant,
    /// The counts.
    pub cells: BTreeMap<EvidenceKey, EvidenceCell>,
}

impl NodeEvidence {
    /// Builds empty evidence.
    #[must_use]
    pub fn new(
        slot: EvidenceSource,
        data_centre: DataCentre,
        number: MoveNumber,
        now: ClockInstant,
    ) -> Self {
        Self {
            source: slot,
            data_centre,
            number,
            taken_at: now,
            cells: BTreeMap::new(),
        }
    }

    /// Counts one outcome; outcomes that say nothing about a version are passed over.
    pub fn record(&mut self, side: VersionSide, report: &OutcomeReport, now: ClockInstant) {
        self.taken_at = now;
        if !report.class.is_evidence() {
            return;
        }
        let key = EvidenceKey {
            route: report.route.clone(),
            side,
            backend: report.backend.clone(),
        };
        let cell = self.cells.entry(key).or_default();
        cell.requests += 1;
        if report.class.is_failure() {
            cell.failures += 1;
        } else if !report.is_warming {
            cell.latency.record(report.latency);
        }
    }

    /// Returns this evidence with only the counts that differ from what was `told` before.
    ///
    /// The counts stay whole, so a receiver that missed a report loses nothing but time.
    #[must_use]
    pub fn changed_since(&self, told: Option<&Self>) -> Self {
        let is_told = |key: &EvidenceKey, cell: &EvidenceCell| {
            told.is_some_and(|told| told.number == self.number && told.cells.get(key) == Some(cell))
        };
        let cells = self.cells.iter().filter(|(key, cell)| !is_told(key, cell));
        Self {
            source: self.source.clone(),
            data_centre: self.data_centre.clone(),
            number: self.number,
            taken_at: self.taken_at,
            cells: cells
                .map(|(key, cell)| (key.clone(), cell.clone()))
                .collect(),
        }
    }

    /// Adds what another slot counted, for the sum of a data centre.
    pub fn add(&mut self, other: &Self) {
        self.taken_at = self.taken_at.max(other.taken_at);
        for (key, cell) in &other.cells {
            self.cells.entry(key.clone()).or_default().add(cell);
        }
    }

    /// Merges a view of the same slot and move into this one, the larger count of each cell,
    /// and returns what it added.
    ///
    /// A view of a lower run or move adds nothing; one of a higher run or move replaces this one
    /// and adds all that it counted.
    pub fn merge(&mut self, other: &Self) -> Vec<(EvidenceKey, EvidenceCell)> {
        match other.order().cmp(&self.order()) {
            Ordering::Less => return Vec::new(),
            Ordering::Greater => {
                self.source = other.source.clone();
                self.number = other.number;
                self.taken_at = other.taken_at;
                self.cells.clear();
            }
            Ordering::Equal => self.taken_at = self.taken_at.max(other.taken_at),
        }
        let cells = other.cells.iter();
        cells
            .filter_map(|(key, cell)| Some((key.clone(), self.merge_cell(key, cell)?)))
            .collect()
    }

    fn order(&self) -> (IncarnationNumber, MoveNumber) {
        (self.source.incarnation, self.number)
    }

    fn merge_cell(&mut self, key: &EvidenceKey, cell: &EvidenceCell) -> Option<EvidenceCell> {
        let Some(held) = self.cells.get_mut(key) else {
            self.cells.insert(key.clone(), cell.clone());
            return Some(cell.clone());
        };
        if cell.requests <= held.requests {
            return None;
        }
        let news = cell.since(held);
        held.add(&news);
        Some(news)
    }
}
