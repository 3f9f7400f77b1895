use serde::{Deserialize, Serialize};

use crate::{
    error::MeshError,
    ids::{DataCentre, RowRevision},
    plugin::RecordKind,
    spread::{RecordEntry, RecordKey},
};

/// Name of the record kind of [`EvacuationOrder`]s, keyed by the data centre.
pub const EVACUATION_KIND: &str = "evacuation";

/// A flag and a revision of at most ten bytes.
const MAX_EVACUATION_BYTES: usize = 16;

/// An operator's order to send nothing more to the backend servers of a data centre, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Data centre that the order names.
    pub data_centre: DataCentre,
    /// Whether the order is in force; `false` once the operator has removed it.
    pub is_ordered: bool,
    /// Revision of the platform's row at which this holds; a later state has a higher one.
    pub revision: RowRevision,
}

/// Value of the replicated record.
///
/// The order of the fields is that of the merge: the highest revision wins, and at the same
/// revision an order wins over its absence.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RecordBody {
    revision: RowRevision,
    is_ordered: bool,
}

impl EvacuationOrder {
    /// Returns the record that replicates this state.
    #[must_use]
    pub fn to_record(&self) -> RecordEntry {
        RecordEntry {
            key: Self::key(&self.data_centre),
            value: self.body().to_bytes().into(),
        }
    }

    /// Decodes a replicated record.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for a malformed key or value.
    pub fn from_record(entry: &RecordEntry) -> Result<Self, MeshError> {
        let body = RecordBody::from_bytes(&entry.value)?;
        Ok(Self {
            data_centre: entry.key.name.parse()?,
            is_ordered: body.is_ordered,
            revision: body.revision,
        })
    }

    /// Returns the key of the record for `data_centre`.
    #[must_use]
    pub fn key(data_centre: &DataCentre) -> RecordKey {
        RecordKey::new(EVACUATION_KIND, data_centre.as_str())
    }

    /// Returns whether this state is later than `held`.
    #[must_use]
    pub fn replaces(&self, held: &Self) -> bool {
        self.body() > held.body()
    }

    const fn body(&self) -> RecordBody {
        RecordBody {
            revision: self.revision,
            is_ordered: self.is_ordered,
        }
    }
}

impl RecordBody {
    fn to_bytes(self) -> Vec<u8> {
        postcard::to_stdvec(&self).expect("an evacuation record holds only serializable types")
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("malformed evacuation record: {error}")))
    }
}

fn merge_bytes(current: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = RecordBody::from_bytes(received)?;
    let merged = match current {
        Some(current) => received.max(RecordBody::from_bytes(current)?),
        None => received,
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: EVACUATION_KIND, max_bytes: MAX_EVACUATION_BYTES, merge: merge_bytes, expires_at: None }
}
