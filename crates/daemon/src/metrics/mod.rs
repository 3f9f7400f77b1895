//! Metrics: recorded through cadence, kept in memory, and served on the operator listener.

mod duration_histogram;
mod metric_sink;

pub use metric_sink::{MetricClient, MetricSink};
