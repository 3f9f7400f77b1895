use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    error::MeshError,
    ids::{DataCentre, MoveNumber, NodeName, RouteName},
    plugin::RecordKind,
};

/// Name of the record kind that carries [`MoveMark`]s, under the service's name.
pub const MARK_KIND: &str = "move-mark";

const MAX_MARK_BYTES: usize = 1_024;

/// Why a move is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MarkCause {
    /// More requests fail on the new version than on the old one.
    Failures,
    /// Requests are slower on the new version than on the old one.
    Latency,
    /// An operator stopped the move.
    Operator,
}

/// One-way mark that a move is taken back.
///
/// The mark of the highest move number wins; within a move the earliest one does, so a mark is
/// never removed within its move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveMark {
    /// Move that is taken back.
    pub number: MoveNumber,
    /// When the mark was made, by the clock of its node.
    pub marked_at: ClockInstant,
    /// Node that made it, if it was not an operator.
    pub node: Option<NodeName>,
    /// Data centre of the node.
    pub data_centre: Option<DataCentre>,
    /// Why.
    pub cause: MarkCause,
    /// Route on which the fault showed.
    pub route: Option<RouteName>,
    /// Figures for people.
    pub figures: CompactString,
}

impl MoveMark {
    /// Returns whichever of the two marks every node keeps.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match self.number.cmp(&other.number) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal => self.min(other),
        }
    }

    /// Encodes the mark.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a mark holds only serializable types")
    }

    /// Decodes a mark.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for malformed bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("move mark is malformed: {error}")))
    }
}

fn merge_bytes(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = MoveMark::from_bytes(received)?;
    let merged = match held {
        Some(held) => MoveMark::from_bytes(held)?.merge(received),
        None => received,
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: MARK_KIND, max_bytes: MAX_MARK_BYTES, merge: merge_bytes }
}
