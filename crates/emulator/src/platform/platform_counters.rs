use std::{collections::BTreeSet, net::IpAddr};

use bronzelb_kernel::clock::ClockInstant;
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Number of events in total and in the busiest second of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateCounter {
    /// Events since the last reset.
    pub total: u64,
    /// Most events in one second of the clock.
    pub max_per_second: u64,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    in_second: u64,
}

impl RateCounter {
    /// Counts an event and returns how many the current second has seen.
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

/// What the platform stand-in was asked for; `DELETE /counters` sets all to zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads of any kind: rows, scans and objects.
    pub reads: RateCounter,
    /// Transactions and stored objects.
    pub writes: RateCounter,
    /// Single rows that were read.
    pub rows_read: u64,
    /// Scans.
    pub scans: u64,
    /// Objects that were read.
    pub objects_read: u64,
    /// Bytes of objects that were read.
    pub object_bytes_read: u64,
    /// Transactions that took effect.
    pub transacts: u64,
    /// Transactions that were refused because an expectation failed.
    pub conflicts: u64,
    /// Objects that were stored.
    pub objects_written: u64,
    /// Requests that a fault kept from a whole answer.
    pub faulted: u64,
    /// Source addresses of all reads.
    pub readers: BTreeSet<IpAddr>,
}
