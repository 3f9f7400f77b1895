use std::{cmp::Ordering, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    error::MeshError,
    ids::{BackendName, DataCentre, IncarnationNumber, MoveNumber, NodeName, RouteName},
    plugin::RecordKind,
    rollout::{LatencyHistogram, OutcomeReport},
};

/// Name of the record kind that carries [`NodeEvidence`], under `SERVICE/NODE`.
pub const EVIDENCE_KIND: &str = "move-evidence";

const MAX_EVIDENCE_BYTES: usize = 64 * 1_024;

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

/// Slot of one run of a node: what a restarted node counted before stays counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeSlot {
    /// Name of the node.
    pub node: NodeName,
    /// Run of the node.
    pub incarnation: IncarnationNumber,
}

/// What one run of a node saw of one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvidence {
    /// Whose evidence it is.
    pub slot: NodeSlot,
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
        slot: NodeSlot,
        data_centre: DataCentre,
        number: MoveNumber,
        now: ClockInstant,
    ) -> Self {
        Self {
            slot,
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

    /// Merges a view of the same slot and move into this one, the larger count of each cell,
    /// and returns what it added.
    ///
    /// A view of a lower run or move adds nothing; one of a higher run or move replaces this one
    /// and adds all that it counted.
    pub fn absorb(&mut self, other: &Self) -> Vec<(EvidenceKey, EvidenceCell)> {
        match other.order().cmp(&self.order()) {
            Ordering::Less => return Vec::new(),
            Ordering::Greater => {
                self.slot = other.slot.clone();
                self.number = other.number;
                self.taken_at = other.taken_at;
                self.cells.clear();
            }
            Ordering::Equal => self.taken_at = self.taken_at.max(other.taken_at),
        }
        let cells = other.cells.iter();
        cells
            .filter_map(|(key, cell)| Some((key.clone(), self.absorb_cell(key, cell)?)))
            .collect()
    }

    /// Encodes the evidence.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("evidence holds only serializable types")
    }

    /// Decodes evidence.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for malformed bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("move evidence is malformed: {error}")))
    }

    fn order(&self) -> (IncarnationNumber, MoveNumber) {
        (self.slot.incarnation, self.number)
    }

    fn absorb_cell(&mut self, key: &EvidenceKey, cell: &EvidenceCell) -> Option<EvidenceCell> {
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

fn merge_bytes(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = NodeEvidence::from_bytes(received)?;
    let Some(held) = held else {
        return Ok(received.to_bytes());
    };
    let mut merged = NodeEvidence::from_bytes(held)?;
    merged.absorb(&received);
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: EVIDENCE_KIND, max_bytes: MAX_EVIDENCE_BYTES, merge: merge_bytes }
}
