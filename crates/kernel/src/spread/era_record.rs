use serde::{Deserialize, Serialize};

use crate::{
    error::MeshError,
    ids::StoreEra,
    plugin::RecordKind,
    spread::{RecordEntry, RecordKey},
};

/// Name of the record kind of the [`EraRecord`].
pub const ERA_KIND: &str = "platform";

const ERA_NAME: &str = "era";
const MAX_ERA_BYTES: usize = 10;

/// Latest era of the platform that any node has seen.
///
/// It is replicated when the platform returns from an older copy, so that nodes which seldom call
/// the platform, or can't, write again what they keep there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EraRecord {
    /// Era.
    pub era: StoreEra,
}

impl EraRecord {
    /// Returns the record that replicates the era.
    #[must_use]
    pub fn to_record(self) -> RecordEntry {
        RecordEntry {
            key: RecordKey::new(ERA_KIND, ERA_NAME),
            value: self.to_bytes().into(),
        }
    }

    /// Decodes a replicated record.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for a malformed value.
    pub fn from_record(entry: &RecordEntry) -> Result<Self, MeshError> {
        Self::from_bytes(&entry.value)
    }

    fn to_bytes(self) -> Vec<u8> {
        postcard::to_stdvec(&self).expect("an era is serializable")
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("malformed era of the platform: {error}")))
    }
}

fn merge_bytes(current: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = EraRecord::from_bytes(received)?;
    let merged = match current {
        Some(current) => received.max(EraRecord::from_bytes(current)?),
        None => received,
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: ERA_KIND, max_bytes: MAX_ERA_BYTES, merge: merge_bytes, expires_at: None }
}
