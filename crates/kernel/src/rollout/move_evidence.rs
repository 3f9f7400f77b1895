use std::{cmp::Ordering, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{BackendName, DataCentre, IncarnationNumber, MoveNumber, NodeName, RouteName},
    rollout::{LatencyHistogram, OutcomeReport},
};

/// Old or new version of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionSide {
    /// The version that the traffic leaves.
    Old,
    /// The version that the traffic goes to.
    New,
}

/// Key of one evidence cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// Route of the requests.
    pub route: RouteName,
    /// Version of the server.
    pub side: VersionSide,
    /// Backend server that ran the requests.
    pub backend: BackendName,
}

/// Outcome counts of a route's requests on one backend server, which never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// Requests with an outcome that is evidence.
    pub requests: u64,
    /// Failed requests among them.
    pub failures: u64,
    /// Latencies of the successful requests, without those on servers within their slow start.
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

/// Source of evidence: one incarnation of a node, or all nodes of a data centre.
///
/// Each incarnation is a source of its own, so the counts of a node from before a restart are kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceSource {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
}

impl EvidenceSource {
    /// Returns the source of the total over a data centre's nodes.
    #[must_use]
    pub fn of_data_centre(data_centre: &DataCentre) -> Self {
        let name = data_centre.as_str().parse();
        Self {
            node: name.expect("data centre names follow the same rules as node names"),
            incarnation: IncarnationNumber::new(0),
        }
    }
}

/// Evidence of one source about one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveEvidence {
    /// Source of the evidence.
    #[serde(rename = "slot")]
    pub source: EvidenceSource,
    /// Data centre of the source.
    pub data_centre: DataCentre,
    /// Move that the evidence is about.
    pub number: MoveNumber,
    /// Time of the counts, by the clock of the source's node; for a data centre, the latest one.
    pub taken_at: ClockInstant,
    /// Counts by route, version and backend server.
    pub cells: BTreeMap<EvidenceKey, EvidenceCell>,
}

impl MoveEvidence {
    /// Creates empty evidence.
    #[must_use]
    pub fn new(
        source: EvidenceSource,
        data_centre: DataCentre,
        number: MoveNumber,
        now: ClockInstant,
    ) -> Self {
        Self {
            source,
            data_centre,
            number,
            taken_at: now,
            cells: BTreeMap::new(),
        }
    }

    /// Records one outcome, unless it is no evidence about a version.
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
        } else if !report.is_in_slow_start {
            cell.latency.record(report.latency);
        }
    }

    /// Returns this evidence reduced to the cells that changed since `sent`.
    ///
    /// The cells hold absolute counts, so a lost report only delays the receiver.
    #[must_use]
    pub fn changed_since(&self, sent: Option<&Self>) -> Self {
        let is_sent = |key: &EvidenceKey, cell: &EvidenceCell| {
            sent.is_some_and(|sent| sent.number == self.number && sent.cells.get(key) == Some(cell))
        };
        let cells = self.cells.iter().filter(|(key, cell)| !is_sent(key, cell));
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

    /// Adds the counts of another source, for the total of a data centre.
    pub fn add(&mut self, other: &Self) {
        self.taken_at = self.taken_at.max(other.taken_at);
        for (key, cell) in &other.cells {
            self.cells.entry(key.clone()).or_default().add(cell);
        }
    }

    /// Merges another snapshot of the same source by keeping the larger count of each cell, and
    /// returns the added counts.
    ///
    /// A snapshot of a lower incarnation or move adds nothing. One of a higher incarnation or move
    /// replaces this one and adds all its counts.
    pub fn merge(&mut self, other: &Self) -> Vec<(EvidenceKey, EvidenceCell)> {
        match other.generation().cmp(&self.generation()) {
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

    fn generation(&self) -> (IncarnationNumber, MoveNumber) {
        (self.source.incarnation, self.number)
    }

    fn merge_cell(&mut self, key: &EvidenceKey, cell: &EvidenceCell) -> Option<EvidenceCell> {
        let Some(current) = self.cells.get_mut(key) else {
            self.cells.insert(key.clone(), cell.clone());
            return Some(cell.clone());
        };
        if cell.requests <= current.requests {
            return None;
        }
        let added = cell.since(current);
        current.add(&added);
        Some(added)
    }
}
