use std::collections::BTreeMap;

use bronzelb_kernel::clock::ClockInstant;
use serde::{Deserialize, Serialize};

const MAX_TALLY_ENTRIES: usize = 1_000_000;

/// Runs with the same request id, idempotency key or path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTally {
    /// Number of runs.
    pub runs: u32,
    /// Start time of the first run.
    pub first_at: ClockInstant,
    /// Start time of the last run.
    pub last_at: ClockInstant,
}

/// Counters of a backend stand-in since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyTotals {
    /// Requests received.
    pub received: u64,
    /// Requests whose run started.
    pub run: u64,
    /// Requests whose run and call to the next service, if any, finished.
    pub finished: u64,
    /// Requests shed without a run.
    pub shed: u64,
    /// Requests affected by a fault.
    pub faulted: u64,
    /// Requests whose connection closed before the response was ready.
    pub cancelled: u64,
    /// Maximum number of requests in flight at the same time.
    pub max_in_flight: u32,
    /// Report requests received.
    pub reports: u64,
}

/// Runs recorded by a backend stand-in, to be compared with the responses that callers received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendTally {
    /// Totals over all requests.
    pub totals: TallyTotals,
    /// Runs by the request id that the node sent.
    pub by_request: BTreeMap<String, RunTally>,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, RunTally>,
    /// Runs by path, without the query.
    pub by_path: BTreeMap<String, RunTally>,
    /// Whether entries were dropped because a map reached its maximum size.
    pub is_truncated: bool,
}

impl BackendTally {
    /// Counts the start of a run.
    pub(crate) fn count_run(&mut self, request: &str, key: &str, path: &str, now: ClockInstant) {
        self.totals.run += 1;
        let is_complete = count_entry(&mut self.by_request, request, now)
            & (key.is_empty() || count_entry(&mut self.by_key, key, now))
            & count_entry(&mut self.by_path, path, now);
        self.is_truncated |= !is_complete;
    }
}

/// Counts a run under `key`; returns `false` if the map is full and has no entry for it.
fn count_entry(tallies: &mut BTreeMap<String, RunTally>, key: &str, now: ClockInstant) -> bool {
    if let Some(tally) = tallies.get_mut(key) {
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
    tallies.insert(key.to_owned(), tally);
    true
}
