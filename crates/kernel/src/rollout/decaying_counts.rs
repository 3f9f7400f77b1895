use crate::rollout::{EventCount, LatencyHistogram};

const BUCKETS: usize = 96;

/// Counts in which older requests weigh less, by the number of requests that came after them.
#[derive(Clone, Debug)]
pub(crate) struct DecayingCounts {
    memory: f64,
    total: EventCount,
    buckets: Vec<f64>,
    latencies: f64,
}

impl DecayingCounts {
    /// Builds empty counts that remember about `memory` requests.
    pub(crate) fn new(memory: f64) -> Self {
        Self {
            memory,
            total: EventCount::default(),
            buckets: vec![0.0; BUCKETS],
            latencies: 0.0,
        }
    }

    /// Adds the outcomes of one interval.
    pub(crate) fn add(&mut self, count: EventCount, latency: &LatencyHistogram) {
        let keep = (-count.requests / self.memory).exp();
        self.total.requests = self.total.requests * keep + count.requests;
        self.total.events = self.total.events * keep + count.events;
        self.latencies *= keep;
        self.buckets.iter_mut().for_each(|held| *held *= keep);
        for (bucket, hits) in latency.iter() {
            let index = usize::from(bucket).min(BUCKETS - 1);
            self.buckets[index] += hits as f64;
            self.latencies += hits as f64;
        }
    }

    /// Returns the remembered requests and failures.
    pub(crate) const fn total(&self) -> EventCount {
        self.total
    }

    /// Returns how many latencies are remembered.
    pub(crate) const fn latencies(&self) -> f64 {
        self.latencies
    }

    /// Returns the bucket that holds the quantile `part`, if there are any latencies.
    pub(crate) fn quantile(&self, part: f64) -> Option<u8> {
        let wanted = self.latencies * part;
        let mut sum = 0.0;
        for (bucket, hits) in self.buckets.iter().enumerate() {
            sum += hits;
            if sum >= wanted && *hits > 0.0 {
                return u8::try_from(bucket).ok();
            }
        }
        None
    }
}
