use std::fmt::Write;

use crate::metrics::metric_sink::format_label_set;

/// Upper bounds of the buckets in milliseconds, from a call within a data centre up to the longest
/// route timeouts.
const BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/// Histogram of durations in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct DurationHistogram {
    counts: [u64; BOUNDS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl DurationHistogram {
    pub(crate) fn observe(&mut self, millis: u64) {
        self.count += 1;
        self.sum_ms += millis;
        let bounds = BOUNDS_MS.iter().zip(&mut self.counts);
        for (_, count) in bounds.filter(|(bound, _)| millis <= **bound) {
            *count += 1;
        }
    }

    /// Renders the cumulative buckets, the sum and the count in the Prometheus text format.
    pub(crate) fn render(&self, name: &str, labels: &str) -> String {
        let mut text = String::new();
        let separator = if labels.is_empty() { "" } else { "," };
        let bounds = BOUNDS_MS.iter().map(u64::to_string).zip(self.counts);
        for (bound, count) in bounds.chain([("+Inf".to_owned(), self.count)]) {
            writeln!(
                text,
                "{name}_bucket{{{labels}{separator}le=\"{bound}\"}} {count}"
            )
            .expect("writing to a string succeeds");
        }
        let labels = format_label_set(labels);
        writeln!(text, "{name}_sum{labels} {}", self.sum_ms).expect("writing to a string succeeds");
        writeln!(text, "{name}_count{labels} {}", self.count)
            .expect("writing to a string succeeds");
        text
    }
}
