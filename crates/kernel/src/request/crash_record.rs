use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::{BackendName, ContentHash, IncarnationNumber},
    plugin::RecordKind,
    spread::RecordKey,
};

/// Name of the replicated record kind that holds [`CrashRecord`]s.
pub const CRASH_RECORD_KIND: &str = "crash";

const MAX_RECORD_BYTES: usize = 2_048;
const MAX_CRASHES: usize = 8;
/// Number of uncleared crashes from which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// Time for which a crash counts against a request.
const CRASH_LIFETIME: TimeBudget = TimeBudget::from_secs(600);

/// One process run of a backend server, as numbered by the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Name of the server.
    pub backend: BackendName,
    /// Incarnation of the node beside the server.
    pub incarnation: IncarnationNumber,
    /// Number of earlier crashes of the server that this incarnation of the node has observed.
    #[serde(rename = "deaths")]
    pub prior_crashes: u32,
}

/// Crash of a server while the request was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashEntry {
    at: ClockInstant,
    is_cleared: bool,
}

/// Replicated record of the server crashes during which a request was in flight.
///
/// A crash is cleared when a server responds to the request after the crash became known: then
/// another request in flight at the same time caused the crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashRecord {
    #[serde(rename = "deaths")]
    crashes: BTreeMap<ServerInstance, CrashEntry>,
}

/// How a node treats a request, as determined by its [`CrashRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashStatus {
    /// No crash counts against the request; it runs normally.
    Clear,
    /// One server crashed with the request in flight; no two suspect requests run on one server
    /// at the same time.
    Suspect,
    /// Two servers crashed with the request in flight; no server runs it again.
    Quarantined,
}

impl CrashRecord {
    /// Returns the key under which the record of a request is replicated.
    #[must_use]
    pub fn key(fingerprint: ContentHash) -> RecordKey {
        RecordKey::new(CRASH_RECORD_KIND, fingerprint.to_string())
    }

    /// Adds a crash of a server with the request in flight.
    pub fn add_crash(&mut self, instance: ServerInstance, at: ClockInstant) {
        let entry = CrashEntry {
            at,
            is_cleared: false,
        };
        self.crashes.entry(instance).or_insert(entry);
        self.enforce_max_crashes();
    }

    /// Clears all known crashes, because a server has since responded to the request.
    pub fn clear(&mut self) {
        for entry in self.crashes.values_mut() {
            entry.is_cleared = true;
        }
    }

    /// Decodes a record from its replicated form.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) if `value` is malformed.
    pub fn decode(value: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(value)
            .map_err(|error| MeshError::invalid(format!("crash record: {error}")))
    }

    /// Encodes the record for replication.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a crash record holds only plain values")
    }

    /// Returns the status of the request at `now`.
    #[must_use]
    pub fn status(&self, now: ClockInstant) -> CrashStatus {
        let is_counted =
            |entry: &&CrashEntry| !entry.is_cleared && entry.at.elapsed(now) < CRASH_LIFETIME;
        match self.crashes.values().filter(is_counted).count() {
            0 => CrashStatus::Clear,
            count if count < QUARANTINE_CRASHES => CrashStatus::Suspect,
            _ => CrashStatus::Quarantined,
        }
    }

    /// Merges another node's record of the same request.
    pub fn merge(&mut self, other: Self) {
        for (instance, entry) in other.crashes {
            let existing = self.crashes.entry(instance).or_insert(entry);
            existing.at = existing.at.max(entry.at);
            existing.is_cleared |= entry.is_cleared;
        }
        self.enforce_max_crashes();
    }

    /// Removes crashes beyond [`MAX_CRASHES`], cleared ones first.
    fn enforce_max_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let first_cleared = self.crashes.iter().find(|(_, entry)| entry.is_cleared);
            let removed = first_cleared.or_else(|| self.crashes.iter().next());
            let Some(instance) = removed.map(|(instance, _)| instance.clone()) else {
                break;
            };
            self.crashes.remove(&instance);
        }
    }
}

fn merge_values(existing: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = CrashRecord::decode(received)?;
    let mut merged = match existing {
        Some(existing) => CrashRecord::decode(existing)?,
        None => CrashRecord::default(),
    };
    merged.merge(received);
    Ok(merged.encode())
}

inventory::submit! {
    RecordKind {
        name: CRASH_RECORD_KIND,
        max_bytes: MAX_RECORD_BYTES,
        merge: merge_values,
        expires_at: None,
    }
}
