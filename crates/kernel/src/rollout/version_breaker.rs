use std::collections::BTreeSet;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::BackendName,
    rollout::{OutcomeReport, VersionSide, share_curve::fraction_of},
};

const CONSECUTIVE_FAILURE_THRESHOLD: u32 = 4;
const OPEN_TIME: TimeBudget = TimeBudget::from_secs(10);
/// Divisor of a short move's span that caps the open time.
const OPEN_SPAN_DIVISOR: u64 = 12;
/// Weight of the previous failure rate of the old version in its moving average.
const OLD_RATE_DECAY: f64 = 0.9;
const MAX_OLD_FAILURE_RATE: f64 = 0.2;

/// Circuit breaker of one node for the new version of a move.
///
/// It opens after several consecutive failures on the new version, on more than one of its servers
/// if it has several, while the failure rate of the old version is low. It stays open for a short
/// time and applies to this node only; the merged evidence decides for all nodes.
#[derive(Clone, Debug)]
pub struct VersionBreaker {
    open_time: TimeBudget,
    consecutive_failures: u32,
    failing_servers: BTreeSet<BackendName>,
    servers: BTreeSet<BackendName>,
    old_failure_rate: f64,
    open_until: ClockInstant,
}

impl Default for VersionBreaker {
    fn default() -> Self {
        Self {
            open_time: OPEN_TIME,
            consecutive_failures: 0,
            failing_servers: BTreeSet::new(),
            servers: BTreeSet::new(),
            old_failure_rate: 0.0,
            open_until: ClockInstant::default(),
        }
    }
}

impl VersionBreaker {
    /// Creates the breaker of a move that lasts for `span`.
    #[must_use]
    pub fn for_span(span: TimeBudget) -> Self {
        Self {
            open_time: OPEN_TIME.min(fraction_of(span, OPEN_SPAN_DIVISOR)),
            ..Self::default()
        }
    }

    /// Records one outcome observed by this node.
    pub fn observe(&mut self, side: VersionSide, report: &OutcomeReport, now: ClockInstant) {
        if !report.class.is_evidence() {
            return;
        }
        let failed = report.class.is_failure();
        match side {
            VersionSide::Old => {
                let event = f64::from(u8::from(failed));
                self.old_failure_rate =
                    self.old_failure_rate * OLD_RATE_DECAY + event * (1.0 - OLD_RATE_DECAY);
            }
            VersionSide::New if failed => self.count_failure(&report.backend, now),
            VersionSide::New => self.count_success(&report.backend),
        }
    }

    /// Returns whether the breaker is open, so that the node sends no requests to the new version.
    #[must_use]
    pub fn is_open(&self, now: ClockInstant) -> bool {
        !self.open_until.has_passed(now)
    }

    fn count_success(&mut self, backend: &BackendName) {
        self.consecutive_failures = 0;
        self.failing_servers.clear();
        self.servers.insert(backend.clone());
    }

    fn count_failure(&mut self, backend: &BackendName, now: ClockInstant) {
        self.consecutive_failures += 1;
        self.failing_servers.insert(backend.clone());
        self.servers.insert(backend.clone());
        let affects_version = self.failing_servers.len() > 1 || self.servers.len() == 1;
        let is_old_healthy = self.old_failure_rate < MAX_OLD_FAILURE_RATE;
        if self.consecutive_failures >= CONSECUTIVE_FAILURE_THRESHOLD
            && affects_version
            && is_old_healthy
        {
            self.open_until = now.after(self.open_time);
            self.consecutive_failures = 0;
            self.failing_servers.clear();
        }
    }
}
