use serde::{Deserialize, Serialize};

/// Faults of the platform stand-in; the default is none.
///
/// `PUT /faults` on the control listener replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes every connection at once.
    pub away: bool,
    /// Accepts requests and never answers.
    pub hang: bool,
    /// Milliseconds by which every answer is delayed.
    pub delay_ms: u64,
    /// Writes that are applied without an answer.
    pub lose_answers: LostAnswers,
    /// Share of requests that are answered with 503, from 0 to 1.
    pub fail_share: f64,
    /// Seed by which the failing requests are drawn.
    pub seed: u64,
    /// Reads a second above which reads are answered with 503; 0 for no limit.
    pub max_reads_per_second: u64,
    /// Writes a second above which writes are answered with 503; 0 for no limit.
    pub max_writes_per_second: u64,
}

/// Which writes are applied without an answer: the connection is closed instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LostAnswers {
    /// Number of writes that are still to lose their answers.
    pub next: u32,
    /// Prefix of the keys or object names that count; empty for all.
    pub key_prefix: String,
    /// Milliseconds after the closing of the connection at which the write takes effect.
    pub apply_after_ms: u64,
}
