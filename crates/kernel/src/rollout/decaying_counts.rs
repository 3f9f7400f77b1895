use crate::rollout::{EventCount, LatencyHistogram};

/// Number of buckets; more than a [`LatencyHistogram`] has.
const BUCKETS: usize = 96;

/// Failure and latency counts with exponential decay by the number of later requests.
#[derive(Clone, Debug)]
pub(crate) struct DecayingCounts {
    decay_requests: f64,
    total: EventCount,
    buckets: Vec<f64>,
    latency_count: f64,
}

impl DecayingCounts {
    /// Creates empty counts that decay by a factor of e every `decay_requests` requests.
    pub(crate) fn new(decay_requests: f64) -> Self {
        Self {
            decay_requests,
            total: EventCount::default(),
            buckets: vec![0.0; BUCKETS],
            latency_count: 0.0,
        }
    }

    /// Adds the outcomes of one interval.
    pub(crate) fn add(&mut self, count: EventCount, latency: &LatencyHistogram) {
        let decay = (-count.requests / self.decay_requests).exp();
        self.total.requests = self.total.requests * decay + count.requests;
        self.total.events = self.total.events * decay + count.events;
        self.latency_count *= decay;
        self.buckets.iter_mut().for_each(|count| *count *= decay);
        for (bucket, bucket_count) in latency.iter() {
            let index = usize::from(bucket).min(BUCKETS - 1);
            self.buckets[index] += bucket_count as f64;
            self.latency_count += bucket_count as f64;
        }
    }

    /// Returns the decayed requests and failures.
    pub(crate) const fn total(&self) -> EventCount {
        self.total
    }

    /// Returns the decayed number of latencies.
    pub(crate) const fn latency_count(&self) -> f64 {
        self.latency_count
    }

    /// Returns the bucket that holds the given quantile, if there are any latencies.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<u8> {
        let target = self.latency_count * quantile;
        let mut sum = 0.0;
        for (bucket, bucket_count) in self.buckets.iter().enumerate() {
            sum += bucket_count;
            if sum >= target && *bucket_count > 0.0 {
                return u8::try_from(bucket).ok();
            }
        }
        None
    }
}
