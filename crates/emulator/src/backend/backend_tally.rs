use std::collections::BTreeMap;

use bronzelb_kernel::clock::ClockInstant;
use serde::{Deserialize, Serialize};

const MAX_TALLY_ENTRIES: usize = 1_000_000;

/// Runs under one request id or idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTally {
    /// Number of runs.
    pub runs: u32,
    /// Start of the first run.
    pub first_at: ClockInstant,
    /// Start of the last run.
    pub last_at: ClockInstant,
}

/// Totals of a backend stand-in since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyTotals {
    /// Requests that arrived.
    pub received: u64,
    /// Requests that started to run.
    pub run: u64,
    /// Requests whose run reached its end.
    pub finished: u64,
    /// Requests that were shed without a run.
    pub shed: u64,
    /// Requests that a fault affected.
    pub faulted: u64,
    /// Requests whose connection closed before the run reached its end.
    pub cancelled: u64,
    /// Most requests in flight at once.
    pub max_in_flight: u32,
    /// Reports that were read.
    pub reports: u64,
}

/// What a backend stand-in ran, for comparing with what callers were told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendTally {
    /// Totals of all requests.
    pub totals: TallyTotals,
    /// Runs by the request id that the node sent.
    pub by_request: BTreeMap<String, RunTally>,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, RunTally>,
    /// Runs by path, without the query.
    pub by_path: BTreeMap<String, RunTally>,
    /// Whether ids or keys were left out because there are too many.
    pub is_truncated: bool,
}

impl BackendTally {
    /// Counts the start of a run.
    pub(crate) fn count_run(&mut self, request: &str, key: &str, path: &str, now: ClockInstant) {
        self.totals.run += 1;
        let is_whole = count(&mut self.by_request, request, now)
            & (key.is_empty() || count(&mut self.by_key, key, now))
            & count(&mut self.by_path, path, now);
        self.is_truncated |= !is_whole;
    }
}

fn count(tallies: &mut BTreeMap<String, RunTally>, name: &str, now: ClockInstant) -> bool {
    if let Some(tally) = tallies.get_mut(name) {
        tally.runs += 1;
        tally.last_at = now;
        return true;
    }
    if tallies.len() >= MAX_TALLY_ENTRIES {
        return false;
    }
    let tally = RunTally {
        runs: 1,
        first_at: now,
        last_at: now,
    };
    tallies.insert(name.to_owned(), tally);
    true
}
