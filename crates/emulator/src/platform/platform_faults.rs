use serde::{Deserialize, Serialize};

/// Faults injected into the platform stand-in; none by default.
///
/// `PUT /faults` on the control listener replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes every connection immediately.
    pub away: bool,
    /// Accepts requests but never responds.
    pub hang: bool,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Writes that are applied without a response.
    pub lose_answers: LostResponses,
    /// Probability that a request fails with status 503, from 0 to 1.
    pub fail_share: f64,
    /// Seed of the random selection of failing requests.
    pub seed: u64,
    /// Maximum number of reads per second; reads above it fail with status 503. 0 disables the
    /// limit.
    pub max_reads_per_second: u64,
    /// Maximum number of writes per second; writes above it fail with status 503. 0 disables the
    /// limit.
    pub max_writes_per_second: u64,
}

/// Selection of writes that are applied without a response: the connection is closed instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LostResponses {
    /// Remaining number of writes to affect.
    pub next: u32,
    /// Prefix of the affected row keys or object names; the empty prefix matches all.
    pub key_prefix: String,
    /// Milliseconds between the closing of the connection and the commit of a transaction; object
    /// writes ignore it.
    pub apply_after_ms: u64,
}
