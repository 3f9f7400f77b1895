//! Metrics: written through cadence, kept in memory, read on the operators' port.

mod latency_buckets;
mod metric_sink;

pub use metric_sink::{MetricClient, MetricSink};
