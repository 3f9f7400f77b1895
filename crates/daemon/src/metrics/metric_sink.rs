use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cadence::StatsdClient;
use compact_str::{CompactString, format_compact};

use crate::metrics::latency_buckets::LatencyBuckets;

const PREFIX: &str = "bronzelb";
const COUNTER: &str = "c";
const TIMER: &str = "ms";
const TAG_MARK: char = '#';

/// Client by which the daemon counts.
pub type MetricClient = StatsdClient;

/// Sink that sums counters, keeps the latest value of gauges and sorts times into buckets, in
/// memory.
#[derive(Clone, Debug, Default)]
pub struct MetricSink {
    values: Arc<Mutex<MetricValues>>,
}

/// Values by name and labels, as they are rendered.
#[derive(Debug, Default)]
struct MetricValues {
    numbers: BTreeMap<MetricKey, i64>,
    times: BTreeMap<MetricKey, LatencyBuckets>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MetricKey {
    name: CompactString,
    labels: CompactString,
}

impl MetricSink {
    /// Builds a client that writes into this sink.
    #[must_use]
    pub fn client(&self) -> MetricClient {
        StatsdClient::from_sink(PREFIX, self.clone())
    }

    /// Returns every metric as text, one per line, in the form that Prometheus reads.
    #[must_use]
    pub fn render(&self) -> String {
        let values = self.lock();
        let mut text = String::new();
        for (key, value) in &values.numbers {
            let MetricKey { name, labels } = key;
            let labels = braced(labels);
            writeln!(text, "{name}{labels} {value}").expect("writing to a string succeeds");
        }
        for (key, buckets) in &values.times {
            text += &buckets.render(&key.name, &key.labels);
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
        let tags = fields.find_map(|field| field.strip_prefix(TAG_MARK));
        let key = MetricKey {
            name: plain_name(name),
            labels: labels(tags.unwrap_or_default()),
        };
        let mut values = self.lock();
        match kind {
            COUNTER => *values.numbers.entry(key).or_default() += value,
            TIMER => {
                let millis = u64::try_from(value).unwrap_or(0);
                values.times.entry(key).or_default().observe(millis);
            }
            _ => {
                values.numbers.insert(key, value);
            }
        }
        Ok(metric.len())
    }
}

/// Replaces what a name may not hold.
fn plain_name(name: &str) -> CompactString {
    name.chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect()
}

/// Turns the tags `a:b,c:d` into the labels `a="b",c="d"`.
fn labels(tags: &str) -> CompactString {
    let pairs = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let labels: Vec<_> = pairs
        .map(|(name, value)| format!("{name}=\"{value}\""))
        .collect();
    labels.join(",").into()
}

pub(super) fn braced(labels: &str) -> CompactString {
    if labels.is_empty() {
        CompactString::default()
    } else {
        format_compact!("{{{labels}}}")
    }
}
