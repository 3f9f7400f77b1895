use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::StatsdClient;
use compact_str::CompactString;

const PREFIX: &str = "bronzelb";

/// Client by which the daemon counts.
pub type MetricClient = StatsdClient;

/// Sink that sums counters and keeps the latest value of gauges, in memory.
#[derive(Clone, Debug, Default)]
pub struct MetricSink {
    values: Arc<Mutex<BTreeMap<CompactString, i64>>>,
}

impl MetricSink {
    /// Builds a client that writes into this sink.
    #[must_use]
    pub fn client(&self) -> MetricClient {
        StatsdClient::from_sink(PREFIX, self.clone())
    }

    /// Returns every metric as text, one per line.
    #[must_use]
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values
            .iter()
            .map(|(name, value)| format!("{name} {value}\n"))
            .collect()
    }
}

impl cadence::MetricSink for MetricSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let Some((name, rest)) = metric.split_once(':') else {
            return Ok(0);
        };
        let mut fields = rest.split('|');
        let value = fields.next().and_then(|text| text.parse::<i64>().ok());
        let kind = fields.next();
        let Some(value) = value else {
            return Ok(0);
        };
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = values.entry(CompactString::from(name)).or_default();
        match kind {
            Some("c") => *slot += value,
            _ => *slot = value,
        }
        Ok(metric.len())
    }
}
