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

/// Name of the record kind that carries [`MoveRecord`]s, under the service's name.
pub const MOVE_KIND: &str = "move";

const MAX_MOVE_BYTES: usize = 4_096;

/// How a move ended, with the figures that the statement rests on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveStatement {
    /// When the end was decided, by the clock of its writer.
    pub decided_at: ClockInstant,
    /// Figures for people.
    pub figures: CompactString,
    /// Data centres whose evidence was heard.
    pub heard: Vec<DataCentre>,
    /// Data centres that could not be heard.
    pub unheard: Vec<DataCentre>,
}

/// A version move as the row `MESH/move/SERVICE` holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Number of the move; the next move of the service has the next number.
    pub number: MoveNumber,
    /// Version that the traffic leaves; the same as `to` when it leaves every other one.
    pub from: BuildVersion,
    /// Version that the traffic goes to.
    pub to: BuildVersion,
    /// When the move started.
    pub start: ClockInstant,
    /// When the move must be done.
    pub by: ClockInstant,
    /// Share of the unproved version, evidence needed and hold time.
    pub rule: RolloutRule,
    /// State of the move.
    pub state: MoveState,
    /// Token of the last writer.
    pub attempt: AttemptToken,
    /// How the move ended, once it has.
    pub statement: Option<MoveStatement>,
    /// Why the move was taken back, or the fault that showed after it was done.
    pub mark: Option<MoveMark>,
    /// Targets of earlier moves that were not done; they get no traffic.
    #[serde(default)]
    pub barred: Vec<BuildVersion>,
}

impl MoveRecord {
    /// Returns whether this record replaces `held`.
    ///
    /// A higher number does; within a move a final state replaces a running one, and a noted
    /// mark replaces none.
    #[must_use]
    pub fn replaces(&self, held: &Self) -> bool {
        self.rank() > held.rank()
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
        let is_left = self.from == self.to || *version == self.from;
        is_left.then_some(VersionSide::Old)
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
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("move record is malformed: {error}")))
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
            .map_err(|error| MeshError::invalid(format!("move row is malformed: {error}")))
    }

    /// Returns the versions that a later move to `target` keeps traffic from.
    #[must_use]
    pub fn barred_after(&self, target: &BuildVersion) -> Vec<BuildVersion> {
        let unproved = (self.state != MoveState::Done).then(|| self.to.clone());
        let mut barred: Vec<_> = self.barred.iter().cloned().chain(unproved).collect();
        barred.retain(|version| version != target);
        barred.sort();
        barred.dedup();
        barred
    }

    /// A record of a node that knew more of the earlier moves goes before one that knew less.
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

fn merge_bytes(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = MoveRecord::from_bytes(received)?;
    let Some(held) = held else {
        return Ok(received.to_bytes());
    };
    let held = MoveRecord::from_bytes(held)?;
    let merged = if received.replaces(&held) {
        received
    } else {
        held
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: MOVE_KIND, max_bytes: MAX_MOVE_BYTES, merge: merge_bytes }
}
