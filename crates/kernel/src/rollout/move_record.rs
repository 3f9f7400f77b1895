use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    config::RolloutRule,
    error::MeshError,
    ids::{AttemptToken, BuildVersion, DataCentre, MoveNumber, ServiceName},
    plugin::RecordKind,
    rollout::{MoveMark, MoveState, VersionSide},
};

/// Name of the record kind of [`MoveRecord`]s, keyed by the service's name.
pub const MOVE_KIND: &str = "move";

const MAX_MOVE_BYTES: usize = 4_096;
/// Number of earlier targets that a record names. Operators order few moves of a service within the
/// seconds by which a copy of the platform is older.
const MAX_EARLIER: usize = 8;
/// Encoding of an empty list.
const EMPTY_LIST: u8 = 0;

/// Statement that a move is done, with the supporting figures.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveStatement {
    /// Time of the decision, by the clock of the writer.
    pub decided_at: ClockInstant,
    /// Human-readable figures.
    pub figures: CompactString,
    /// Data centres whose evidence was received.
    pub heard: Vec<DataCentre>,
    /// Data centres without recent evidence.
    pub unheard: Vec<DataCentre>,
}

/// Version move as stored in the row `MESH/move/SERVICE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Number of the move, counted up for each move of the service.
    pub number: MoveNumber,
    /// Version that the traffic leaves; equal to `to` if the move replaces every other version.
    pub from: BuildVersion,
    /// Version that the traffic goes to.
    pub to: BuildVersion,
    /// Start time of the move.
    pub start: ClockInstant,
    /// Deadline of the move.
    pub by: ClockInstant,
    /// First share, required evidence and hold time.
    pub rule: RolloutRule,
    /// State of the move.
    pub state: MoveState,
    /// Token of the last writer.
    pub attempt: AttemptToken,
    /// Statement that the move is done, once it is.
    pub statement: Option<MoveStatement>,
    /// Reason of the rollback, or a fault found after the move was done.
    pub mark: Option<MoveMark>,
    /// Targets of earlier moves that were not done; these versions get no traffic.
    #[serde(default)]
    pub barred: Vec<BuildVersion>,
    /// Targets of the latest earlier moves, the newest last.
    #[serde(default)]
    pub earlier: Vec<BuildVersion>,
}

impl MoveRecord {
    /// Returns whether this record replaces `current`.
    ///
    /// A higher number wins, unless the record repeats the other one's move. Within a move a final
    /// state wins over a running one, and a record with a mark over one without.
    #[must_use]
    pub fn replaces(&self, current: &Self) -> bool {
        if self.repeats(current) || current.repeats(self) {
            return current.repeats(self);
        }
        self.rank() > current.rank()
    }

    /// Returns whether the service was moved to `target` by this move or a recent earlier one.
    #[must_use]
    pub fn has_answered(&self, target: &BuildVersion) -> bool {
        self.to == *target || self.earlier.contains(target)
    }

    /// Returns whether a node created this record in a later era of the platform because it did not
    /// know that `known` has answered the order.
    fn repeats(&self, known: &Self) -> bool {
        let era = |record: &Self| record.number.revision().era();
        era(self) > era(known) && known.has_answered(&self.to) && !self.earlier.contains(&known.to)
    }

    /// Returns the side of the move that a version is on, if any.
    #[must_use]
    pub fn side_of(&self, version: &BuildVersion) -> Option<VersionSide> {
        if *version == self.to {
            return Some(VersionSide::New);
        }
        if self.barred.contains(version) {
            return None;
        }
        let is_source = self.from == self.to || *version == self.from;
        is_source.then_some(VersionSide::Old)
    }

    /// Encodes the record for other nodes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a move record holds only serializable types")
    }

    /// Decodes a record from another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for malformed bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        let record = postcard::from_bytes(bytes).or_else(|_| {
            // Records of earlier builds end before the list of earlier targets.
            postcard::from_bytes(&[bytes, &[EMPTY_LIST]].concat())
        });
        record.map_err(|error| MeshError::invalid(format!("malformed move record: {error}")))
    }

    /// Encodes the record for the platform's row.
    #[must_use]
    pub fn to_row(&self) -> String {
        serde_json::to_string(self).expect("a move record holds only serializable types")
    }

    /// Decodes the platform's row.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for a malformed row.
    pub fn from_row(row: &str) -> Result<Self, MeshError> {
        serde_json::from_str(row)
            .map_err(|error| MeshError::invalid(format!("malformed move row: {error}")))
    }

    /// Returns the versions that get no traffic in the next move, which goes to `target`.
    #[must_use]
    pub fn barred_after(&self, target: &BuildVersion) -> Vec<BuildVersion> {
        let unfinished = (self.state != MoveState::Done).then(|| self.to.clone());
        let mut barred: Vec<_> = self.barred.iter().cloned().chain(unfinished).collect();
        barred.retain(|version| version != target);
        barred.sort();
        barred.dedup();
        barred
    }

    /// Returns the targets that the next move's record names as earlier ones.
    #[must_use]
    pub fn earlier_after(&self) -> Vec<BuildVersion> {
        let earlier = self.earlier.iter().filter(|target| **target != self.to);
        let mut earlier: Vec<_> = earlier.chain([&self.to]).cloned().collect();
        let excess = earlier.len().saturating_sub(MAX_EARLIER);
        earlier.drain(..excess);
        earlier
    }

    /// Returns the sort key of [`replaces`](Self::replaces).
    ///
    /// Of two writers, the one that knew more of the earlier moves wins, by the number of barred
    /// versions.
    fn rank(&self) -> (MoveNumber, bool, bool, usize, Vec<u8>) {
        let is_marked = self.mark.is_some();
        (
            self.number,
            self.state.is_final(),
            is_marked,
            self.barred.len(),
            self.to_bytes(),
        )
    }
}

fn merge_bytes(current: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = MoveRecord::from_bytes(received)?;
    let Some(current) = current else {
        return Ok(received.to_bytes());
    };
    let current = MoveRecord::from_bytes(current)?;
    let merged = if received.replaces(&current) {
        received
    } else {
        current
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: MOVE_KIND, max_bytes: MAX_MOVE_BYTES, merge: merge_bytes, expires_at: None }
}
