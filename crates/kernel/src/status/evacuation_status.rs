use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{DataCentre, RowRevision},
    placement::EvacuationEntry,
};

/// What a node knows of a data centre's evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Data centre.
    pub data_centre: DataCentre,
    /// Whether the evacuation is in force.
    pub is_ordered: bool,
    /// Revision of the platform at which this holds.
    pub revision: RowRevision,
    /// Instant at which the node first saw this state, by the node's clock.
    pub seen_at: ClockInstant,
}

impl From<&EvacuationEntry> for EvacuationStatus {
    fn from(entry: &EvacuationEntry) -> Self {
        Self {
            data_centre: entry.order.data_centre.clone(),
            is_ordered: entry.order.is_ordered,
            revision: entry.order.revision,
            seen_at: entry.seen_at,
        }
    }
}
