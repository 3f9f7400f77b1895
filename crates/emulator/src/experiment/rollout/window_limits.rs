use std::collections::{BTreeMap, VecDeque};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    rollout::LatencyHistogram,
};

const WINDOW: TimeBudget = TimeBudget::from_secs(10);
const MIN_REQUESTS: usize = 10;
const MIN_LATENCIES: usize = 20;
const MAX_FAILURE_EXCESS: f64 = 0.05;
const MAX_BUCKET_INCREASE: u8 = 2;
const TAIL_QUANTILE: f64 = 0.95;

/// Sliding-window comparison of both versions' merged counts with fixed limits.
#[derive(Debug, Default)]
pub(crate) struct WindowLimits {
    routes: BTreeMap<usize, VecDeque<WindowEntry>>,
}

#[derive(Debug)]
struct WindowEntry {
    recorded_at: ClockInstant,
    is_new: bool,
    is_failed: bool,
    bucket: u8,
}

impl WindowLimits {
    pub(crate) fn record(
        &mut self,
        route: usize,
        is_new: bool,
        is_failed: bool,
        latency: TimeBudget,
        recorded_at: ClockInstant,
    ) {
        let bucket = LatencyHistogram::bucket_of(latency);
        let entry = WindowEntry {
            recorded_at,
            is_new,
            is_failed,
            bucket,
        };
        self.routes.entry(route).or_default().push_back(entry);
    }

    /// Returns whether any route exceeds a limit.
    pub(crate) fn is_exceeded(&mut self, now: ClockInstant) -> bool {
        let start = now.before(WINDOW);
        for entries in self.routes.values_mut() {
            while entries
                .front()
                .is_some_and(|entry| entry.recorded_at < start)
            {
                entries.pop_front();
            }
        }
        self.routes.values().any(exceeds_limits)
    }
}

fn exceeds_limits(entries: &VecDeque<WindowEntry>) -> bool {
    let entries_of = |is_new| entries.iter().filter(move |entry| entry.is_new == is_new);
    let failure_rate = |is_new| {
        let requests = entries_of(is_new).count();
        let failures = entries_of(is_new).filter(|entry| entry.is_failed).count();
        (requests, failures as f64 / requests.max(1) as f64)
    };
    let (new_requests, new_rate) = failure_rate(true);
    let (old_requests, old_rate) = failure_rate(false);
    let has_enough_requests = new_requests >= MIN_REQUESTS && old_requests >= MIN_REQUESTS;
    if has_enough_requests && new_rate > old_rate + MAX_FAILURE_EXCESS {
        return true;
    }
    let tail_bucket = |is_new| {
        let mut buckets: Vec<u8> = entries_of(is_new)
            .filter(|entry| !entry.is_failed)
            .map(|entry| entry.bucket)
            .collect();
        buckets.sort_unstable();
        let index = (buckets.len() as f64 * TAIL_QUANTILE) as usize;
        (buckets.len() >= MIN_LATENCIES).then(|| buckets[index.min(buckets.len() - 1)])
    };
    match (tail_bucket(false), tail_bucket(true)) {
        (Some(old), Some(new)) => new >= old + MAX_BUCKET_INCREASE,
        _ => false,
    }
}
