use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::TimeBudget;

const BUCKETS_PER_DOUBLING: f64 = 4.0;
const FIRST_BUCKET_MICROS: f64 = 50.0;
const LAST_BUCKET: u8 = 90;

/// Sparse histogram of latencies with four logarithmic buckets per doubling.
///
/// Only non-empty buckets are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    buckets: BTreeMap<u8, u64>,
}

impl LatencyHistogram {
    /// Returns the index of the bucket that holds a latency.
    #[must_use]
    pub fn bucket_of(latency: TimeBudget) -> u8 {
        let micros = (latency.as_micros() as f64).max(FIRST_BUCKET_MICROS);
        let bucket = ((micros / FIRST_BUCKET_MICROS).log2() * BUCKETS_PER_DOUBLING).floor();
        bucket.min(f64::from(LAST_BUCKET)) as u8
    }

    /// Returns the upper bound of a bucket.
    #[must_use]
    pub fn upper_bound(bucket: u8) -> TimeBudget {
        let doublings = (f64::from(bucket) + 1.0) / BUCKETS_PER_DOUBLING;
        TimeBudget::from_micros((FIRST_BUCKET_MICROS * doublings.exp2()) as u64)
    }

    /// Records one latency.
    pub fn record(&mut self, latency: TimeBudget) {
        self.add(Self::bucket_of(latency), 1);
    }

    /// Adds `count` latencies to a bucket.
    pub fn add(&mut self, bucket: u8, count: u64) {
        *self.buckets.entry(bucket).or_default() += count;
    }

    /// Iterates over the non-empty buckets and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (u8, u64)> {
        self.buckets.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Returns the counts added since the snapshot `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let buckets = self
            .iter()
            .map(|(bucket, count)| {
                let previous = earlier.buckets.get(&bucket).copied().unwrap_or(0);
                (bucket, count.saturating_sub(previous))
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        Self { buckets }
    }

    /// Returns the number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }
}
