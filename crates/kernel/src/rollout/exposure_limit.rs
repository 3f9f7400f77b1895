use crate::config::ShareRatio;

/// Limit of the requests that a faulty version may get during a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExposureLimit {
    /// Share of the requests of the whole span.
    pub share: ShareRatio,
    /// Requests beside that share.
    pub slack: u32,
}

impl ExposureLimit {
    /// Returns the limit of `span_secs` seconds with `rate` requests per second, as seconds with all
    /// requests. Without a known rate it is that of the share alone.
    pub(crate) fn secs(&self, span_secs: f64, rate: Option<f64>) -> f64 {
        let slack = rate.map_or(0.0, |rate| f64::from(self.slack) / rate.max(f64::EPSILON));
        (self.share.as_f64() * span_secs + slack).min(span_secs)
    }
}
