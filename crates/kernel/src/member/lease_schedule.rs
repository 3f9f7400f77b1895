use rand::Rng;

use crate::clock::{ClockInstant, TimeBudget};

/// Time after which a node's lease row in the platform expires unless it is renewed.
pub const LEASE_ROW_TTL: TimeBudget = TimeBudget::from_secs(180);
/// Time until a starting node usually knows whether it is one of the few that write a row.
const FIRST_WRITE_MIN_MS: u64 = 500;
/// Spreads the first writes, in case nodes that know no peers all write.
const FIRST_WRITE_MAX_MS: u64 = 3_000;
const RENEWAL_INTERVAL_MIN_MS: u64 = 45_000;
const RENEWAL_INTERVAL_MAX_MS: u64 = 75_000;
/// Time in which the nodes of a mesh that starts for the first time usually find each other through
/// seeds, which the platform may name a few hundred milliseconds late. Nodes that start again scan
/// sooner: rows from before lead them to each other.
const FIRST_SCAN_MIN_MS: u64 = 800;
/// Keeps the first scans of 990 nodes below the platform's limit of 2,000 reads per second.
const FIRST_SCAN_SPREAD_MS: u64 = 500;
const SCAN_INTERVAL_MIN_MS: u64 = 1_000;
const SCAN_INTERVAL_MAX_MS: u64 = 2_000;

/// Schedule of a node's writes and scans of the platform's lease rows.
///
/// First writes are spread over two and a half seconds and renewals are about a minute apart, so
/// neither steady operation nor a mass restart uses much of the platform's write capacity. Only a node that
/// knows no peers scans. Every scan finds the row that was written first, so nodes that start
/// together end up in one mesh.
#[derive(Clone, Debug)]
pub struct LeaseSchedule {
    next_write: ClockInstant,
    next_scan: ClockInstant,
}

impl LeaseSchedule {
    /// Creates the schedule of a starting node; `is_first_start` tells whether the whole mesh starts
    /// for the first time.
    #[must_use]
    pub fn new(now: ClockInstant, is_first_start: bool, rng: &mut impl Rng) -> Self {
        let first_scan_min_ms = match is_first_start {
            true => FIRST_SCAN_MIN_MS,
            false => 0,
        };
        let first_scan_max_ms = first_scan_min_ms + FIRST_SCAN_SPREAD_MS;
        Self {
            next_write: random_instant(now, FIRST_WRITE_MIN_MS, FIRST_WRITE_MAX_MS, rng),
            next_scan: random_instant(now, first_scan_min_ms, first_scan_max_ms, rng),
        }
    }

    /// Returns whether a write of the row is due; if so, schedules the next one.
    pub fn take_due_write(&mut self, now: ClockInstant, rng: &mut impl Rng) -> bool {
        let is_due = self.next_write.has_passed(now);
        if is_due {
            self.next_write =
                random_instant(now, RENEWAL_INTERVAL_MIN_MS, RENEWAL_INTERVAL_MAX_MS, rng);
        }
        is_due
    }

    /// Brings the next write forward, because the platform may have lost the row. The writes of many
    /// nodes are spread like first ones.
    pub fn write_again(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        let again = random_instant(now, FIRST_WRITE_MIN_MS, FIRST_WRITE_MAX_MS, rng);
        self.next_write = self.next_write.min(again);
    }

    /// Returns whether a scan by a node without known peers is due; if so, schedules the next one.
    pub fn take_due_scan(&mut self, now: ClockInstant, rng: &mut impl Rng) -> bool {
        let is_due = self.next_scan.has_passed(now);
        if is_due {
            self.next_scan = random_instant(now, SCAN_INTERVAL_MIN_MS, SCAN_INTERVAL_MAX_MS, rng);
        }
        is_due
    }
}

fn random_instant(now: ClockInstant, min_ms: u64, max_ms: u64, rng: &mut impl Rng) -> ClockInstant {
    now.after(TimeBudget::from_millis(rng.random_range(min_ms..=max_ms)))
}
