use std::collections::{BTreeMap, VecDeque};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    rollout::LatencyHistogram,
};

const WINDOW: TimeBudget = TimeBudget::from_secs(10);
const MIN_REQUESTS: usize = 10;
const MIN_LATENCIES: usize = 20;
const MAX_EXCESS: f64 = 0.05;
const MAX_BUCKETS_SLOWER: u8 = 2;
const TAIL: f64 = 0.95;

/// Comparison of merged counts over a sliding window with fixed limits.
#[derive(Debug, Default)]
pub(crate) struct WindowLimits {
    routes: BTreeMap<usize, VecDeque<WindowEntry>>,
}

#[derive(Debug)]
struct WindowEntry {
    at: ClockInstant,
    is_new: bool,
    failed: bool,
    bucket: u8,
}

impl WindowLimits {
    pub(crate) fn record(
        &mut self,
        route: usize,
        is_new: bool,
        failed: bool,
        latency: TimeBudget,
        at: ClockInstant,
    ) {
        let bucket = LatencyHistogram::bucket_of(latency);
        let entry = WindowEntry {
            at,
            is_new,
            failed,
            bucket,
        };
        self.routes.entry(route).or_default().push_back(entry);
    }

    /// Returns whether any route is over a limit.
    pub(crate) fn is_over(&mut self, now: ClockInstant) -> bool {
        let start = now.before(WINDOW);
        for entries in self.routes.values_mut() {
            while entries.front().is_some_and(|entry| entry.at < start) {
                entries.pop_front();
            }
        }
        self.routes.values().any(route_is_over)
    }
}

fn route_is_over(entries: &VecDeque<WindowEntry>) -> bool {
    let side = |is_new| entries.iter().filter(move |entry| entry.is_new == is_new);
    let failures = |is_new| {
        let requests = side(is_new).count();
        let failed = side(is_new).filter(|entry| entry.failed).count();
        (requests, failed as f64 / requests.max(1) as f64)
    };
    let (new_requests, new_share) = failures(true);
    let (old_requests, old_share) = failures(false);
    let has_enough = new_requests >= MIN_REQUESTS && old_requests >= MIN_REQUESTS;
    if has_enough && new_share > old_share + MAX_EXCESS {
        return true;
    }
    let tail = |is_new| {
        let mut buckets: Vec<u8> = side(is_new)
            .filter(|entry| !entry.failed)
            .map(|entry| entry.bucket)
            .collect();
        buckets.sort_unstable();
        let index = (buckets.len() as f64 * TAIL) as usize;
        (buckets.len() >= MIN_LATENCIES).then(|| buckets[index.min(buckets.len() - 1)])
    };
    match (tail(false), tail(true)) {
        (Some(old), Some(new)) => new >= old + MAX_BUCKETS_SLOWER,
        _ => false,
    }
}
