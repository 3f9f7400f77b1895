use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cadence::StatsdClient;
use compact_str::{CompactString, format_compact};

use crate::metrics::duration_histogram::DurationHistogram;

const NAME_PREFIX: &str = "bronzelb";
const COUNTER_TYPE: &str = "c";
const TIMER_TYPE: &str = "ms";
const TAG_PREFIX: char = '#';

/// Client through which the daemon records metrics.
pub type MetricClient = StatsdClient;

/// In-memory sink that sums counters, keeps the latest value of gauges and collects timers in
/// histograms.
#[derive(Clone, Debug, Default)]
pub struct MetricSink {
    values: Arc<Mutex<MetricValues>>,
}

/// Metric values by name and labels, in rendering order.
#[derive(Debug, Default)]
struct MetricValues {
    scalars: BTreeMap<MetricKey, i64>,
    histograms: BTreeMap<MetricKey, DurationHistogram>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MetricKey {
    name: CompactString,
    labels: CompactString,
}

impl MetricSink {
    /// Creates a client that writes to this sink.
    #[must_use]
    pub fn client(&self) -> MetricClient {
        StatsdClient::from_sink(NAME_PREFIX, self.clone())
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let values = self.lock();
        let mut text = String::new();
        for (key, value) in &values.scalars {
            let MetricKey { name, labels } = key;
            let labels = format_label_set(labels);
            writeln!(text, "{name}{labels} {value}").expect("writing to a string succeeds");
        }
        for (key, histogram) in &values.histograms {
            text += &histogram.render(&key.name, &key.labels);
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, MetricValues> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl cadence::MetricSink for MetricSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let Some((name, rest)) = metric.split_once(':') else {
            return Ok(0);
        };
        let mut fields = rest.split('|');
        let value = fields.next().and_then(|text| text.parse::<i64>().ok());
        let kind = fields.next().unwrap_or_default();
        let Some(value) = value else {
            return Ok(0);
        };
        let tags = fields.find_map(|field| field.strip_prefix(TAG_PREFIX));
        let key = MetricKey {
            name: sanitize_name(name),
            labels: format_labels(tags.unwrap_or_default()),
        };
        let mut values = self.lock();
        match kind {
            COUNTER_TYPE => *values.scalars.entry(key).or_default() += value,
            TIMER_TYPE => {
                let millis = u64::try_from(value).unwrap_or(0);
                values.histograms.entry(key).or_default().observe(millis);
            }
            _ => {
                values.scalars.insert(key, value);
            }
        }
        Ok(metric.len())
    }
}

/// Replaces characters that a metric name may not contain with underscores.
fn sanitize_name(name: &str) -> CompactString {
    name.chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect()
}

/// Converts the tags `a:b,c:d` to the labels `a="b",c="d"`.
fn format_labels(tags: &str) -> CompactString {
    let pairs = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let labels: Vec<_> = pairs
        .map(|(name, value)| format!("{name}=\"{value}\""))
        .collect();
    labels.join(",").into()
}

pub(super) fn format_label_set(labels: &str) -> CompactString {
    if labels.is_empty() {
        CompactString::default()
    } else {
        format_compact!("{{{labels}}}")
    }
}
