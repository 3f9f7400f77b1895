use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::{BackendName, ContentHash, IncarnationNumber},
    plugin::RecordKind,
    spread::RecordKey,
};

/// Name of the replicated record kind.
pub const CRASH_RECORD_KIND: &str = "crash";

const MAX_RECORD_BYTES: usize = 2_048;
const MAX_DEATHS: usize = 8;
const QUARANTINE_DEATHS: usize = 2;
const RECORD_LIFETIME: TimeBudget = TimeBudget::from_secs(600);

/// One run of a backend server process, as the node beside it numbers them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Name of the server.
    pub backend: BackendName,
    /// Run of the node beside the server.
    pub incarnation: IncarnationNumber,
    /// Deaths of the server that the node had seen before.
    pub prior_crashes: u32,
}

/// One death of a server with the request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DeathMark {
    at: ClockInstant,
    is_cleared: bool,
}

/// What the nodes know of a request that was in flight when backend servers died.
///
/// A death is cleared when a server answers the request after that death was known: the request
/// was then only in flight beside the one that kills.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashRecord {
    deaths: BTreeMap<ServerInstance, DeathMark>,
}

/// What a node does with a request, by its [`CrashRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashStatus {
    /// Nothing speaks against the request.
    Clear,
    /// One server died with the request in flight; it runs alone among suspects.
    Suspect,
    /// Two servers died with the request in flight; it runs nowhere.
    Quarantined,
}

impl CrashRecord {
    /// Returns the key under which a request's record is replicated.
    #[must_use]
    pub fn key(fingerprint: ContentHash) -> RecordKey {
        RecordKey::new(CRASH_RECORD_KIND, fingerprint.to_string())
    }

    /// Adds a server's death with the request in flight.
    pub fn add_crash(&mut self, life: ServerInstance, at: ClockInstant) {
        let mark = DeathMark {
            at,
            is_cleared: false,
        };
        self.deaths.entry(life).or_insert(mark);
        self.shorten();
    }

    /// Clears every death that is known, because a server has answered the request since.
    pub fn clear(&mut self) {
        for mark in self.deaths.values_mut() {
            mark.is_cleared = true;
        }
    }

    /// Decodes a replicated value.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) when it is malformed.
    pub fn decode(value: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(value)
            .map_err(|error| MeshError::invalid(format!("crash record: {error}")))
    }

    /// Encodes the record for replication.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a crash record holds only plain values")
    }

    /// Returns what the record says at `now`.
    #[must_use]
    pub fn status(&self, now: ClockInstant) -> CrashStatus {
        let counts = |mark: &&DeathMark| !mark.is_cleared && mark.at.elapsed(now) < RECORD_LIFETIME;
        match self.deaths.values().filter(counts).count() {
            0 => CrashStatus::Clear,
            count if count < QUARANTINE_DEATHS => CrashStatus::Suspect,
            _ => CrashStatus::Quarantined,
        }
    }

    /// Takes in another node's record of the same request.
    pub fn merge(&mut self, other: Self) {
        for (life, mark) in other.deaths {
            let held = self.deaths.entry(life).or_insert(mark);
            held.at = held.at.max(mark.at);
            held.is_cleared |= mark.is_cleared;
        }
        self.shorten();
    }

    fn shorten(&mut self) {
        while self.deaths.len() > MAX_DEATHS {
            let first_cleared = self.deaths.iter().find(|(_, mark)| mark.is_cleared);
            let first = first_cleared.or_else(|| self.deaths.iter().next());
            let Some(life) = first.map(|(life, _)| life.clone()) else {
                break;
            };
            self.deaths.remove(&life);
        }
    }
}

fn merge_values(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = CrashRecord::decode(received)?;
    let mut merged = match held {
        Some(held) => CrashRecord::decode(held)?,
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
    }
}
