use std::collections::BTreeSet;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::BackendName,
    rollout::{OutcomeReport, VersionSide, share_curve::fraction_of},
};

/// Cumulative sum of log likelihood ratios from which the breaker opens: two failures with at most
/// two successes between them, while the old version does not fail.
const OPEN_THRESHOLD: f64 = 4.6;
/// Cumulative sum from which a failure pauses the node's requests to the new version: a single one,
/// while the old version fails less than once in 150 times.
const PAUSE_THRESHOLD: f64 = 2.5;
/// Failure rate above that of the old version which a good version may have, as its servers are new.
const NULL_INCREASE: f64 = 0.02;
/// Failure rate above that of the old version under the alternative.
const FAULT_INCREASE: f64 = 0.3;
/// Highest failure rate of the old version that is used; beyond it the service itself fails.
const MAX_OLD_FAILURE_RATE: f64 = 0.5;
const OPEN_TIME: TimeBudget = TimeBudget::from_secs(10);
/// Divisor of a short move's span that caps the open time. A fifth is what the judges need for a
/// mark while some of them are stopped.
const OPEN_SPAN_DIVISOR: u64 = 5;
/// Time of a pause; within it the responses to requests that are under way arrive.
const PAUSE_TIME: TimeBudget = TimeBudget::from_secs(2);
/// Divisor of a short move's span that caps the time of a pause.
const PAUSE_SPAN_DIVISOR: u64 = 15;
/// Weight of the previous failure rate of the old version in its moving average.
const OLD_RATE_DECAY: f64 = 0.95;

/// Circuit breaker of one node for the new version of a move.
///
/// Answers the load of a version that begins to fail when it has much of the traffic: until the
/// judges have compared the versions, each node by itself pauses the new one at the first failure that
/// the old one does not explain, and stops sending to it for longer at a surplus of failures. The
/// breaker applies to this node only and closes by itself, so that a false alarm costs a good version
/// little; the merged evidence decides for all nodes.
#[derive(Clone, Debug)]
pub struct VersionBreaker {
    open_time: TimeBudget,
    pause_time: TimeBudget,
    /// Cumulative sum of log likelihood ratios of the new version's outcomes.
    surplus: f64,
    /// Servers that have failed since the sum was last zero.
    failing_servers: BTreeSet<BackendName>,
    /// Servers of the new version that this node has sent requests to.
    servers: BTreeSet<BackendName>,
    old_failure_rate: f64,
    open_until: ClockInstant,
    paused_until: ClockInstant,
    openings: u32,
}

impl Default for VersionBreaker {
    fn default() -> Self {
        Self {
            open_time: OPEN_TIME,
            pause_time: PAUSE_TIME,
            surplus: 0.0,
            failing_servers: BTreeSet::new(),
            servers: BTreeSet::new(),
            old_failure_rate: 0.0,
            open_until: ClockInstant::default(),
            paused_until: ClockInstant::default(),
            openings: 0,
        }
    }
}

impl VersionBreaker {
    /// Creates the breaker of a move that lasts for `span`.
    #[must_use]
    pub fn for_span(span: TimeBudget) -> Self {
        Self {
            open_time: OPEN_TIME.min(fraction_of(span, OPEN_SPAN_DIVISOR)),
            pause_time: PAUSE_TIME.min(fraction_of(span, PAUSE_SPAN_DIVISOR)),
            ..Self::default()
        }
    }

    /// Records one outcome observed by this node, and returns whether it opened the breaker.
    pub fn observe(
        &mut self,
        side: VersionSide,
        report: &OutcomeReport,
        now: ClockInstant,
    ) -> bool {
        if !report.class.is_evidence() {
            return false;
        }
        let failed = report.class.is_failure();
        match side {
            VersionSide::Old => {
                let event = f64::from(u8::from(failed));
                self.old_failure_rate =
                    self.old_failure_rate * OLD_RATE_DECAY + event * (1.0 - OLD_RATE_DECAY);
                false
            }
            // Requests that were sent before the breaker opened say nothing new.
            VersionSide::New if !self.open_until.has_passed(now) => false,
            VersionSide::New => self.observe_new(&report.backend, failed, now),
        }
    }

    /// Returns whether the breaker is open, so that the node sends no requests to the new version.
    #[must_use]
    pub fn is_open(&self, now: ClockInstant) -> bool {
        !self.open_until.has_passed(now) || !self.paused_until.has_passed(now)
    }

    /// Returns how often the breaker has opened.
    #[must_use]
    pub const fn openings(&self) -> u32 {
        self.openings
    }

    fn observe_new(&mut self, backend: &BackendName, failed: bool, now: ClockInstant) -> bool {
        let null_rate = self.old_failure_rate.min(MAX_OLD_FAILURE_RATE) + NULL_INCREASE;
        let fault_rate = null_rate + FAULT_INCREASE;
        self.servers.insert(backend.clone());
        if failed {
            self.failing_servers.insert(backend.clone());
            self.surplus += (fault_rate / null_rate).ln();
        } else {
            self.surplus += ((1.0 - fault_rate) / (1.0 - null_rate)).ln();
        }
        if self.surplus <= 0.0 {
            self.surplus = 0.0;
            self.failing_servers.clear();
        }
        if !failed || self.surplus < PAUSE_THRESHOLD || !self.affects_version() {
            return false;
        }
        if self.surplus < OPEN_THRESHOLD {
            self.paused_until = now.after(self.pause_time);
            return false;
        }
        self.open_until = now.after(self.open_time);
        self.openings += 1;
        self.surplus = 0.0;
        self.failing_servers.clear();
        true
    }

    /// Returns whether the fault is not one of a single server of several.
    fn affects_version(&self) -> bool {
        self.failing_servers.len() > 1 || self.servers.len() == 1
    }
}
