use crate::rollout::{EventCount, LatencyHistogram};

const BUCKETS: usize = 96;

/// Counts with exponential decay by the number of later requests.
#[derive(Clone, Debug)]
pub(crate) struct DecayingCounts {
    decay_requests: f64,
    total: EventCount,
    buckets: Vec<f64>,
    latencies: f64,
}

impl DecayingCounts {
    /// Creates empty counts that decay by a factor of e every `decay_requests` requests.
    pub(crate) fn new(decay_requests: f64) -> Self {
        Self {
            decay_requests,
            total: EventCount::default(),
            buckets: vec![0.0; BUCKETS],
            latencies: 0.0,
        }
    }

    /// Adds the outcomes of one interval.
    pub(crate) fn add(&mut self, count: EventCount, latency: &LatencyHistogram) {
        let decay = (-count.requests / self.decay_requests).exp();
        self.total.requests = self.total.requests * decay + count.requests;
        self.total.events = self.total.events * decay + count.events;
        self.latencies *= decay;
        self.buckets.iter_mut().for_each(|count| *count *= decay);
        for (bucket, hits) in latency.iter() {
            let index = usize::from(bucket).min(BUCKETS - 1);
            self.buckets[index] += hits as f64;
            self.latencies += hits as f64;
        }
    }

    /// Returns the decayed requests and failures.
    pub(crate) const fn total(&self) -> EventCount {
        self.total
    }

    /// Returns the decayed number of latencies.
    pub(crate) const fn latencies(&self) -> f64 {
        self.latencies
    }

    /// Returns the bucket that holds the given quantile, if there are any latencies.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<u8> {
        let target = self.latencies * quantile;
        let mut sum = 0.0;
        for (bucket, hits) in self.buckets.iter().enumerate() {
            sum += hits;
            if sum >= target && *hits > 0.0 {
                return u8::try_from(bucket).ok();
            }
        }
        None
    }
}
