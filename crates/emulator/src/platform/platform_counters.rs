use std::{collections::BTreeSet, net::IpAddr};

use bronzelb_kernel::clock::ClockInstant;
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Total number of events and the maximum within one clock second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateCounter {
    /// Events since the last reset.
    pub total: u64,
    /// Maximum number of events within one clock second.
    pub max_per_second: u64,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    in_second: u64,
}

impl RateCounter {
    /// Counts an event and returns the number of events in the current clock second.
    pub(crate) fn count(&mut self, now: ClockInstant) -> u64 {
        let second = now.as_micros() / MICROS_PER_SECOND;
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.total += 1;
        self.in_second += 1;
        self.max_per_second = self.max_per_second.max(self.in_second);
        self.in_second
    }
}

/// Request counters of the platform stand-in; `DELETE /counters` resets them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Read requests: single rows, scans and objects.
    pub reads: RateCounter,
    /// Write requests: transactions and objects.
    pub writes: RateCounter,
    /// Reads of single rows.
    pub rows_read: u64,
    /// Table scans.
    pub scans: u64,
    /// Objects returned.
    pub objects_read: u64,
    /// Total size in bytes of the objects returned.
    pub object_bytes_read: u64,
    /// Committed transactions.
    pub transacts: u64,
    /// Transactions rejected because a precondition failed.
    pub conflicts: u64,
    /// Objects stored.
    pub objects_written: u64,
    /// Requests that received no response, or status 503, because of a fault.
    pub faulted: u64,
    /// Source addresses of all read requests.
    pub readers: BTreeSet<IpAddr>,
}
