use std::collections::BTreeSet;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::BackendName,
    rollout::{OutcomeReport, VersionSide, share_curve::fraction_of},
};

const STREAK_LIMIT: u32 = 4;
const STOP_TIME: TimeBudget = TimeBudget::from_secs(10);
/// Part of a short move's span that a stop takes at most.
const STOP_PART_OF_SPAN: u64 = 12;
const OLD_FADING: f64 = 0.9;
const OLD_FAILURE_LIMIT: f64 = 0.2;

/// A node's own stop for the gross case: several failures in a row on the new version, on more
/// than one of its servers where there are several, while the old version is fine.
///
/// It holds for a short time and for this node only; the merged evidence decides for all.
#[derive(Clone, Debug)]
pub struct VersionBreaker {
    stop_time: TimeBudget,
    streak: u32,
    failing: BTreeSet<BackendName>,
    servers: BTreeSet<BackendName>,
    old_failures: f64,
    stopped_until: ClockInstant,
}

impl Default for VersionBreaker {
    fn default() -> Self {
        Self {
            stop_time: STOP_TIME,
            streak: 0,
            failing: BTreeSet::new(),
            servers: BTreeSet::new(),
            old_failures: 0.0,
            stopped_until: ClockInstant::default(),
        }
    }
}

impl VersionBreaker {
    /// Builds the stop of a move that lasts for `span`.
    #[must_use]
    pub fn for_span(span: TimeBudget) -> Self {
        Self {
            stop_time: STOP_TIME.min(fraction_of(span, STOP_PART_OF_SPAN)),
            ..Self::default()
        }
    }

    /// Takes in one outcome that the node saw itself.
    pub fn observe(&mut self, side: VersionSide, report: &OutcomeReport, now: ClockInstant) {
        if !report.class.is_evidence() {
            return;
        }
        let failed = report.class.is_failure();
        match side {
            VersionSide::Old => {
                let event = f64::from(u8::from(failed));
                self.old_failures = self.old_failures * OLD_FADING + event * (1.0 - OLD_FADING);
            }
            VersionSide::New if failed => self.count_failure(&report.backend, now),
            VersionSide::New => self.count_success(&report.backend),
        }
    }

    /// Returns whether the node keeps its requests off the new version.
    #[must_use]
    pub fn is_open(&self, now: ClockInstant) -> bool {
        !self.stopped_until.has_passed(now)
    }

    fn count_success(&mut self, backend: &BackendName) {
        self.streak = 0;
        self.failing.clear();
        self.servers.insert(backend.clone());
    }

    fn count_failure(&mut self, backend: &BackendName, now: ClockInstant) {
        self.streak += 1;
        self.failing.insert(backend.clone());
        self.servers.insert(backend.clone());
        let speaks_for_version = self.failing.len() > 1 || self.servers.len() == 1;
        let old_is_fine = self.old_failures < OLD_FAILURE_LIMIT;
        if self.streak >= STREAK_LIMIT && speaks_for_version && old_is_fine {
            self.stopped_until = now.after(self.stop_time);
            self.streak = 0;
            self.failing.clear();
        }
    }
}
