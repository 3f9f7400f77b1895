use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::BackendName,
    member::BackendIncarnation,
    plugin::RecordKind,
    spread::{RecordEntry, RecordKey},
};

/// Name of the record kind of [`DepartureNotice`]s, keyed by the backend server.
pub const DEPARTURE_KIND: &str = "departure";

/// Two integers of at most ten bytes and an instant.
const MAX_NOTICE_BYTES: usize = 32;
/// Time after which a notice is dropped. It exceeds the longest delay of a heartbeat by far.
const NOTICE_TTL: TimeBudget = TimeBudget::from_secs(600);
/// Maximum number of notices that a table holds; larger than the number of servers of a mesh.
const MAX_NOTICES: usize = 4_096;
/// Above every sequence number of a heartbeat that can still arrive.
const LAST_SEQUENCE: u64 = u64::MAX;

/// Statement of a backend server that it is leaving. Heartbeats that it sent before are void.
///
/// Other nodes hold copies, because the server's node may be restarted before the last of these
/// heartbeats arrives.
///
/// The order of the fields is that of the merge: the latest statement wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DepartureNotice {
    incarnation: BackendIncarnation,
    /// Sequence number of the latest void heartbeat.
    sequence: u64,
    noted_at: ClockInstant,
}

impl DepartureNotice {
    /// Creates the notice of a server that drains, by its heartbeat with `sequence`.
    #[must_use]
    pub const fn of_draining(
        incarnation: BackendIncarnation,
        sequence: u64,
        now: ClockInstant,
    ) -> Self {
        Self {
            incarnation,
            sequence,
            noted_at: now,
        }
    }

    /// Creates the notice of a server that has left.
    #[must_use]
    pub const fn of_gone(incarnation: BackendIncarnation, now: ClockInstant) -> Self {
        Self::of_draining(incarnation, LAST_SEQUENCE, now)
    }

    /// Returns the incarnation that is leaving.
    #[must_use]
    pub const fn incarnation(&self) -> BackendIncarnation {
        self.incarnation
    }

    /// Returns whether the server has left, and does not only drain.
    #[must_use]
    pub const fn is_gone(&self) -> bool {
        self.sequence == LAST_SEQUENCE
    }

    /// Returns whether a heartbeat was sent before the notice.
    #[must_use]
    pub fn voids(&self, incarnation: BackendIncarnation, sequence: u64) -> bool {
        (incarnation, sequence) <= (self.incarnation, self.sequence)
    }

    /// Returns the record that replicates the notice of the server `name`.
    #[must_use]
    pub fn to_record(&self, name: &BackendName) -> RecordEntry {
        let value = postcard::to_stdvec(self).expect("a notice holds only serializable types");
        RecordEntry {
            key: RecordKey::new(DEPARTURE_KIND, name.as_str()),
            value: value.into(),
        }
    }

    /// Decodes a replicated record.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for a malformed key or value.
    pub fn from_record(entry: &RecordEntry) -> Result<(BackendName, Self), MeshError> {
        Ok((entry.key.name.parse()?, Self::from_bytes(&entry.value)?))
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("malformed departure notice: {error}")))
    }

    const fn expires_at(&self) -> ClockInstant {
        self.noted_at.after(NOTICE_TTL)
    }
}

/// Notices of the backend servers that have left recently, by name.
#[derive(Clone, Debug, Default)]
pub struct DepartureTable {
    notices: BTreeMap<BackendName, DepartureNotice>,
}

impl DepartureTable {
    /// Creates an empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            notices: BTreeMap::new(),
        }
    }

    /// Records a notice unless a later one is known, and returns whether it was recorded.
    pub fn record(&mut self, name: &BackendName, notice: DepartureNotice) -> bool {
        if self.get(name).is_some_and(|known| *known >= notice) {
            return false;
        }
        self.notices.insert(name.clone(), notice);
        while self.notices.len() > MAX_NOTICES {
            self.evict_oldest();
        }
        true
    }

    /// Returns the notice of the server `name`.
    #[must_use]
    pub fn get(&self, name: &BackendName) -> Option<&DepartureNotice> {
        self.notices.get(name)
    }

    /// Drops the notices that have expired.
    pub fn expire(&mut self, now: ClockInstant) {
        self.notices
            .retain(|_, notice| !notice.expires_at().has_passed(now));
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .notices
            .iter()
            .min_by_key(|(_, notice)| notice.noted_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.notices.remove(&name);
        }
    }
}

fn merge_bytes(current: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = DepartureNotice::from_bytes(received)?;
    let merged = match current {
        Some(current) => received.max(DepartureNotice::from_bytes(current)?),
        None => received,
    };
    Ok(postcard::to_stdvec(&merged).expect("a notice holds only serializable types"))
}

fn expires_at(value: &[u8]) -> Option<ClockInstant> {
    let notice = DepartureNotice::from_bytes(value).ok()?;
    Some(notice.expires_at())
}

inventory::submit! {
    RecordKind {
        name: DEPARTURE_KIND,
        max_bytes: MAX_NOTICE_BYTES,
        merge: merge_bytes,
        expires_at: Some(expires_at),
    }
}
