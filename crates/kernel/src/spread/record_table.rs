use std::{collections::BTreeMap, fmt, str::FromStr};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    plugin::RecordKind,
};

/// Key of a replicated record: its kind, and its name within the kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// Name of the registered [`RecordKind`].
    pub kind: CompactString,
    /// Name within the kind, such as a service's name.
    pub name: CompactString,
}

impl RecordKey {
    /// Builds a key.
    pub fn new(kind: impl Into<CompactString>, name: impl Into<CompactString>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for RecordKey {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| MeshError::invalid(format!("record key {text:?} has no \"/\"")))?;
        Ok(Self::new(kind, name))
    }
}

/// Value of a replicated record, in the encoding of its kind.
pub type RecordValue = Bytes;

/// Small mergeable records that are replicated to every node.
///
/// The kind of a record defines how two values merge; see [`RecordKind`].
#[derive(Clone, Debug, Default)]
pub struct RecordTable {
    records: BTreeMap<RecordKey, RecordValue>,
}

impl RecordTable {
    /// Merges a value into the record under `key` and returns whether the record changed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] for an unknown kind, [`ErrorKind::TooLarge`] for an oversized value,
    /// and the error of the kind's merge function for a malformed value.
    pub fn merge(&mut self, key: RecordKey, received: &[u8]) -> Result<bool, MeshError> {
        let kind = RecordKind::find(&key.kind)?;
        if received.len() > kind.max_bytes {
            return Err(MeshError::new(
                ErrorKind::TooLarge,
                format!(
                    "record {key} has {} bytes, the limit is {}",
                    received.len(),
                    kind.max_bytes
                ),
            ));
        }
        let held = self.records.get(&key);
        let merged = (kind.merge)(held.map(AsRef::as_ref), received)?;
        if held.is_some_and(|value| value.as_ref() == merged.as_slice()) {
            return Ok(false);
        }
        self.records.insert(key, Bytes::from(merged));
        Ok(true)
    }

    /// Removes the records that have expired and returns them.
    pub fn expire(&mut self, now: ClockInstant) -> Vec<(RecordKey, RecordValue)> {
        let is_expired = |(key, value): &(&RecordKey, &RecordValue)| {
            RecordKind::find(&key.kind).is_ok_and(|kind| kind.is_expired(value, now))
        };
        let expired = self.records.iter().filter(is_expired);
        let expired: Vec<_> = expired
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        for (key, _) in &expired {
            self.records.remove(key);
        }
        expired
    }

    /// Returns the value under `key`.
    #[must_use]
    pub fn get(&self, key: &RecordKey) -> Option<&RecordValue> {
        self.records.get(key)
    }

    /// Returns every record in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&RecordKey, &RecordValue)> {
        self.records.iter()
    }
}
