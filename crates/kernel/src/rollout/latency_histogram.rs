use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::TimeBudget;

const BUCKETS_PER_DOUBLING: f64 = 4.0;
const SMALLEST_MICROS: f64 = 50.0;
const LAST_BUCKET: u8 = 90;

/// Counts of latencies in buckets that grow by a fourth of a doubling.
///
/// Only buckets that were hit take space.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    buckets: BTreeMap<u8, u64>,
}

impl LatencyHistogram {
    /// Returns the bucket of a latency.
    #[must_use]
    pub fn bucket_of(latency: TimeBudget) -> u8 {
        let micros = (latency.as_micros() as f64).max(SMALLEST_MICROS);
        let bucket = ((micros / SMALLEST_MICROS).log2() * BUCKETS_PER_DOUBLING).floor();
        bucket.min(f64::from(LAST_BUCKET)) as u8
    }

    /// Returns the upper bound of a bucket.
    #[must_use]
    pub fn upper_bound(bucket: u8) -> TimeBudget {
        let doublings = (f64::from(bucket) + 1.0) / BUCKETS_PER_DOUBLING;
        TimeBudget::from_micros((SMALLEST_MICROS * doublings.exp2()) as u64)
    }

    /// Counts one latency.
    pub fn record(&mut self, latency: TimeBudget) {
        self.add(Self::bucket_of(latency), 1);
    }

    /// Adds `count` latencies to a bucket.
    pub fn add(&mut self, bucket: u8, count: u64) {
        *self.buckets.entry(bucket).or_default() += count;
    }

    /// Returns the buckets that were hit, with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (u8, u64)> {
        self.buckets.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Returns what this histogram counted beyond `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let buckets = self
            .iter()
            .map(|(bucket, count)| {
                let held = earlier.buckets.get(&bucket).copied().unwrap_or(0);
                (bucket, count.saturating_sub(held))
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        Self { buckets }
    }

    /// Returns how many latencies were counted.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }
}
