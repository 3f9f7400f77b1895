use rand::Rng;

use crate::clock::{ClockInstant, TimeBudget};

/// Time for which a node's row in the platform holds.
pub const ROW_LEASE_DURATION: TimeBudget = TimeBudget::from_secs(180);
/// 990 first writes over this time stay below the platform's 400 writes a second.
const FIRST_WRITE_MAX_MS: u64 = 3_000;
const RENEWAL_INTERVAL_MIN_MS: u64 = 45_000;
const RENEWAL_INTERVAL_MAX_MS: u64 = 75_000;
/// 990 first scans over this time stay below the platform's 2,000 reads a second.
const FIRST_SCAN_MAX_MS: u64 = 500;
const SCAN_INTERVAL_MIN_MS: u64 = 1_000;
const SCAN_INTERVAL_MAX_MS: u64 = 2_000;

/// Schedule of a node's writes and scans of member rows in the platform.
///
/// First writes are spread over three seconds and renewals lie about a minute apart, so that
/// neither the fleet nor a herd that returns takes much of the platform's writes. Only a node that
/// knows nobody scans. Every scan finds the row that was written first, so that nodes that start
/// together end in one mesh.
#[derive(Clone, Debug)]
pub struct LeaseSchedule {
    next_write: ClockInstant,
    next_scan: ClockInstant,
}

impl LeaseSchedule {
    /// Builds the schedule of a node that starts.
    #[must_use]
    pub fn new(now: ClockInstant, rng: &mut impl Rng) -> Self {
        Self {
            next_write: random_instant(now, 0, FIRST_WRITE_MAX_MS, rng),
            next_scan: random_instant(now, 0, FIRST_SCAN_MAX_MS, rng),
        }
    }

    /// Returns whether the row is to be written now, and schedules the next time.
    pub fn take_due_write(&mut self, now: ClockInstant, rng: &mut impl Rng) -> bool {
        let is_due = self.next_write.has_passed(now);
        if is_due {
            self.next_write =
                random_instant(now, RENEWAL_INTERVAL_MIN_MS, RENEWAL_INTERVAL_MAX_MS, rng);
        }
        is_due
    }

    /// Returns whether a node that knows nobody scans now, and schedules the next time.
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
