use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    error::MeshError,
    ids::{DataCentre, MoveNumber, NodeName, RouteName},
    plugin::RecordKind,
};

/// Name of the record kind of [`MoveMark`]s, keyed by the service's name.
pub const MARK_KIND: &str = "move-mark";

const MAX_MARK_BYTES: usize = 1_024;

/// Cause of a mark: why a move is rolled back, or which fault was found after it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MarkCause {
    /// The failure rate of the new version is higher than that of the old one.
    Failures,
    /// Latency is higher on the new version than on the old one.
    Latency,
    /// An operator stopped the move.
    Operator,
}

/// Permanent mark that a move is rolled back, or that a fault was found after it was done.
///
/// Marks merge to the one with the highest move number, and within a move to the earliest one.
/// A mark is therefore never removed within its move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveMark {
    /// Move that is marked.
    pub number: MoveNumber,
    /// Time at which the mark was created, by the clock of its node.
    pub marked_at: ClockInstant,
    /// Node that created it, unless an operator did.
    pub node: Option<NodeName>,
    /// Data centre of the node.
    pub data_centre: Option<DataCentre>,
    /// Cause of the mark.
    pub cause: MarkCause,
    /// Route on which the fault was found.
    pub route: Option<RouteName>,
    /// Human-readable figures.
    pub figures: CompactString,
}

impl MoveMark {
    /// Returns the mark that takes precedence, which is the same on every node.
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
            .map_err(|error| MeshError::invalid(format!("malformed move mark: {error}")))
    }
}

fn merge_bytes(current: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = MoveMark::from_bytes(received)?;
    let merged = match current {
        Some(current) => MoveMark::from_bytes(current)?.merge(received),
        None => received,
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: MARK_KIND, max_bytes: MAX_MARK_BYTES, merge: merge_bytes, expires_at: None }
}
