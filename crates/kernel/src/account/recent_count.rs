use crate::clock::{ClockInstant, TimeBudget};

const SLICES: usize = 10;

/// Count of the requests in the last window, in slices of a tenth of it.
#[derive(Clone, Debug)]
pub struct RecentCount {
    slice_micros: u64,
    counts: [u32; SLICES],
    /// Number of the newest slice since the epoch.
    newest: u64,
}

impl RecentCount {
    /// Creates a count over `window`.
    #[must_use]
    pub fn new(window: TimeBudget) -> Self {
        Self {
            slice_micros: (window.as_micros() / SLICES as u64).max(1),
            counts: [0; SLICES],
            newest: 0,
        }
    }

    /// Adds requests at `now`.
    pub fn add(&mut self, now: ClockInstant, count: u32) {
        let slice = self.advance(now);
        self.counts[slice] = self.counts[slice].saturating_add(count);
    }

    /// Takes back one request that was counted but did not run.
    pub fn take_back(&mut self, now: ClockInstant) {
        self.advance(now);
        let newest_first = (0..SLICES as u64).map(|age| self.newest.wrapping_sub(age));
        for number in newest_first {
            let count = &mut self.counts[(number % SLICES as u64) as usize];
            if *count > 0 {
                *count -= 1;
                return;
            }
        }
    }

    /// Returns the requests in the last window.
    #[must_use]
    pub fn total(&self, now: ClockInstant) -> u32 {
        let mut current = self.clone();
        current.advance(now);
        current.counts.iter().sum()
    }

    fn advance(&mut self, now: ClockInstant) -> usize {
        let current = now.as_micros() / self.slice_micros;
        let passed = current.saturating_sub(self.newest).min(SLICES as u64);
        for number in current.max(self.newest) - passed..current {
            self.counts[((number + 1) % SLICES as u64) as usize] = 0;
        }
        self.newest = self.newest.max(current);
        (self.newest % SLICES as u64) as usize
    }
}
