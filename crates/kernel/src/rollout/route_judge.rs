use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::BackendName,
    rollout::{
        CusumDetector, DetectorBaseline, DetectorShares, EventBin, EventCount, EvidenceCell,
        LatencyHistogram, MarkCause, SequentialTest, VersionSide, cusum_detector::exceeds,
        decaying_counts::DecayingCounts,
    },
};

/// Wealth at which a test rejects the new version: one false alarm per test in 2,000 moves.
const WEALTH_THRESHOLD: f64 = 2_000.0;
/// Threshold of the tests that leave out one server: one false alarm in 30 moves with a faulty
/// server.
const LEAVE_ONE_OUT_THRESHOLD: f64 = 30.0;
const FAILURE_ODDS_RATIOS: &[f64] = &[3.0, 10.0, 100.0, 1_000.0];
const SLOW_ODDS_RATIOS: &[f64] = &[2.0, 4.0, 16.0];
/// Minimum decayed failures of the new version for a fault.
const MIN_FAILURES: f64 = 2.5;
const MIN_FAILURE_RATE_INCREASE: f64 = 0.04;
/// Minimum increase of the 95th percentile, in latency buckets.
const MIN_P95_BUCKET_INCREASE: u8 = 2;
/// Increase of the failure rate for which an undecided trial ends with a fault, in its standard
/// errors.
const FAULT_ERRORS: f64 = 2.2;
const MIN_BASELINE_LATENCIES: f64 = 30.0;
/// Requests after which the counts of the new version decay by a factor of e.
const NEW_DECAY_REQUESTS: f64 = 60.0;
/// Requests after which the counts of the old version decay by a factor of e.
const OLD_DECAY_REQUESTS: f64 = 500.0;
/// Quantiles of the old version's latency above which a request counts as slow.
const SLOW_QUANTILES: [f64; 2] = [0.80, 0.95];

/// Fault of the new version on a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteFault {
    /// Cause of the fault: failures or latency.
    pub cause: MarkCause,
    /// Recent failure rate, or 95th percentile of the latency in seconds, of the old version.
    pub old: f64,
    /// The same figure of the new version.
    pub new: f64,
}

/// Outcomes of a route's requests in one interval, by version and server.
#[derive(Clone, Debug, Default)]
pub struct RouteBin {
    /// Outcomes on the old version.
    pub old: EvidenceCell,
    /// Outcomes on each server of the new version.
    pub new: BTreeMap<BackendName, EvidenceCell>,
}

/// Comparison of the two versions of a move on one route.
#[derive(Clone, Debug)]
pub struct RouteJudge {
    /// Requests since the start of the move.
    requests: BTreeMap<VersionSide, u64>,
    /// Recent outcomes on the old version.
    old: DecayingCounts,
    /// The latest outcomes on the old version, by which a fault of the whole service shows.
    recent_old: DecayingCounts,
    /// Recent outcomes on the new version.
    new: DecayingCounts,
    /// Decayed failure counts of each server of the new version.
    new_servers: BTreeMap<BackendName, EventCount>,
    failure_test: SequentialTest,
    /// One test per quantile in [`SLOW_QUANTILES`].
    slow_tests: [SequentialTest; 2],
    detector: CusumDetector,
}

impl RouteBin {
    /// Returns the requests on both versions.
    #[must_use]
    pub fn requests(&self) -> u64 {
        let new: u64 = self.new.values().map(|cell| cell.requests).sum();
        self.old.requests + new
    }
}

impl RouteJudge {
    /// Creates the judge of a route for a move that lasts for `span`, about `intervals` comparison
    /// intervals.
    #[must_use]
    pub fn new(span: TimeBudget, intervals: f64) -> Self {
        let slow_test = || SequentialTest::new(SLOW_ODDS_RATIOS, intervals);
        Self {
            requests: BTreeMap::new(),
            old: DecayingCounts::new(OLD_DECAY_REQUESTS),
            recent_old: DecayingCounts::new(NEW_DECAY_REQUESTS),
            new: DecayingCounts::new(NEW_DECAY_REQUESTS),
            new_servers: BTreeMap::new(),
            failure_test: SequentialTest::new(FAILURE_ODDS_RATIOS, intervals),
            slow_tests: [slow_test(), slow_test()],
            detector: CusumDetector::for_span(span),
        }
    }

    /// Adds the outcomes of one interval, in which the new version had the share `planned_share`.
    ///
    /// `trial_share` is the share at which the version is tried in a limited move.
    pub fn observe(
        &mut self,
        bin: &RouteBin,
        planned_share: ShareRatio,
        trial_share: Option<ShareRatio>,
        now: ClockInstant,
    ) {
        // Servers under trial have a higher load than those of the old version, and answer later.
        let is_trial = trial_share.is_some_and(|share| planned_share >= share);
        let limits = self.slow_limits().filter(|_| !is_trial);
        self.failure_test.observe(&failure_bin(bin));
        if let Some(limits) = limits {
            for (test, limit) in self.slow_tests.iter_mut().zip(limits) {
                test.observe(&slow_bin(bin, limit));
            }
        }
        let p95_bucket = limits.map(|[_, p95_bucket]| p95_bucket);
        self.recent_old
            .add(failure_count(&bin.old), &bin.old.latency);
        let baseline = DetectorBaseline {
            old: self.old.total(),
            recent_old: self.recent_old.total(),
            recent_new: self.recent_new(bin),
            p95_bucket,
        };
        let shares = DetectorShares {
            planned: planned_share,
            trial: trial_share,
        };
        let wealth = self.wealth();
        self.detector.observe(bin, baseline, shares, wealth, now);
        self.count(bin);
    }

    /// Counts requests that cannot be attributed to an interval, without comparing them.
    pub fn count_stale(&mut self, side: VersionSide, requests: u64) {
        *self.requests.entry(side).or_default() += requests;
    }

    /// Returns the fault found so far, if any.
    #[must_use]
    pub fn fault(&self) -> Option<RouteFault> {
        self.failure_fault().or_else(|| self.slow_fault())
    }

    /// Returns the share of the new version during a recheck.
    #[must_use]
    pub fn recheck_share(&self) -> Option<ShareRatio> {
        self.detector.share()
    }

    /// Returns the log likelihood ratios of the detector of late faults, for failures and for slow
    /// requests.
    #[must_use]
    pub const fn surpluses(&self) -> (f64, f64) {
        self.detector.sums()
    }

    /// Returns the number of requests of the route on one version.
    #[must_use]
    pub fn requests(&self, side: VersionSide) -> u64 {
        self.requests.get(&side).copied().unwrap_or(0)
    }

    /// Returns the recent failure rates of the old and the new version.
    #[must_use]
    pub fn failure_rates(&self) -> (f64, f64) {
        (self.old.total().event_rate(), self.new.total().event_rate())
    }

    /// Returns the 95th percentile latencies of the old and the new version, if there are any.
    #[must_use]
    pub fn p95_latencies(&self) -> (Option<TimeBudget>, Option<TimeBudget>) {
        let p95 = |counts: &DecayingCounts| {
            counts
                .quantile(SLOW_QUANTILES[1])
                .map(LatencyHistogram::upper_bound)
        };
        (p95(&self.old), p95(&self.new))
    }

    /// Returns the largest wealth of the sequential tests.
    #[must_use]
    pub fn wealth(&self) -> f64 {
        let slow = self.slow_tests.iter().map(|test| test.wealth().0);
        slow.fold(self.failure_test.wealth().0, f64::max)
    }

    /// Returns the latest outcomes on the new version, including those of an interval that is not
    /// counted yet.
    fn recent_new(&self, bin: &RouteBin) -> EventCount {
        let mut count = self.new.total();
        bin.new
            .values()
            .for_each(|cell| count.add(failure_count(cell)));
        count
    }

    /// Returns whether the new version's latest requests failed more often than those of the old one
    /// by more than chance explains, and without any one of its servers too.
    #[must_use]
    pub(crate) fn fails_more(&self) -> bool {
        let increase = self.leave_one_out_failure_rate() - self.recent_old.total().event_rate();
        increase >= MIN_FAILURE_RATE_INCREASE
            && exceeds(self.new.total(), self.recent_old.total(), FAULT_ERRORS)
    }

    /// Returns whether the latest failures on the new version are not explained yet.
    #[must_use]
    pub(crate) fn is_uncertain(&self) -> bool {
        self.detector.is_uncertain()
    }

    /// Returns the fault if the new version fails more often.
    pub(crate) fn failure_fault(&self) -> Option<RouteFault> {
        let (old, new) = self.failure_rates();
        let is_bad = self
            .failure_test
            .rejects_null(WEALTH_THRESHOLD, LEAVE_ONE_OUT_THRESHOLD)
            && self.new.total().events >= MIN_FAILURES
            && new - old >= MIN_FAILURE_RATE_INCREASE
            && self.leave_one_out_failure_rate() - old >= MIN_FAILURE_RATE_INCREASE;
        is_bad.then_some(RouteFault {
            cause: MarkCause::Failures,
            old,
            new,
        })
    }

    /// Returns the smallest failure rate of the new version with one of its servers left out.
    fn leave_one_out_failure_rate(&self) -> f64 {
        let mut all = EventCount::default();
        self.new_servers.values().for_each(|count| all.add(*count));
        if self.new_servers.len() < 2 {
            return all.event_rate();
        }
        let without = |own: &EventCount| EventCount {
            requests: all.requests - own.requests,
            events: all.events - own.events,
        };
        let rates = self
            .new_servers
            .values()
            .map(|own| without(own).event_rate());
        rates.fold(f64::INFINITY, f64::min)
    }

    fn slow_fault(&self) -> Option<RouteFault> {
        let old = self.old.quantile(SLOW_QUANTILES[1])?;
        let new = self.new.quantile(SLOW_QUANTILES[1])?;
        let rejects_null =
            |test: &SequentialTest| test.rejects_null(WEALTH_THRESHOLD, LEAVE_ONE_OUT_THRESHOLD);
        let is_bad = self.slow_tests.iter().any(rejects_null)
            && new >= old.saturating_add(MIN_P95_BUCKET_INCREASE);
        is_bad.then_some(RouteFault {
            cause: MarkCause::Latency,
            old: LatencyHistogram::upper_bound(old).as_secs_f64(),
            new: LatencyHistogram::upper_bound(new).as_secs_f64(),
        })
    }

    /// Returns the latency buckets above which a request counts as slow, once the old version has
    /// enough latencies.
    fn slow_limits(&self) -> Option<[u8; 2]> {
        if self.old.latency_count() < MIN_BASELINE_LATENCIES {
            return None;
        }
        let [p80_bucket, p95_bucket] = SLOW_QUANTILES.map(|quantile| self.old.quantile(quantile));
        Some([p80_bucket?, p95_bucket?])
    }

    fn count(&mut self, bin: &RouteBin) {
        let on_new = new_requests(bin);
        *self.requests.entry(VersionSide::Old).or_default() += bin.old.requests;
        *self.requests.entry(VersionSide::New).or_default() += on_new as u64;
        self.old.add(failure_count(&bin.old), &bin.old.latency);
        self.new_servers
            .values_mut()
            .for_each(|count| decay(count, on_new));
        for (server, cell) in &bin.new {
            self.new.add(failure_count(cell), &cell.latency);
            let count = self.new_servers.entry(server.clone()).or_default();
            count.add(failure_count(cell));
        }
    }
}

/// Decays a count by the number of later requests.
fn decay(count: &mut EventCount, requests: f64) {
    let factor = (-requests / NEW_DECAY_REQUESTS).exp();
    count.requests *= factor;
    count.events *= factor;
}

fn new_requests(bin: &RouteBin) -> f64 {
    bin.new.values().map(|cell| cell.requests as f64).sum()
}

/// Returns the count of a cell's requests with failures as events.
pub(crate) fn failure_count(cell: &EvidenceCell) -> EventCount {
    EventCount {
        requests: cell.requests as f64,
        events: cell.failures as f64,
    }
}

/// Returns the count of a cell's latencies with those above the bucket `limit` as events.
pub(crate) fn slow_count(cell: &EvidenceCell, limit: u8) -> EventCount {
    let slow = cell.latency.iter().filter(|(bucket, _)| *bucket > limit);
    EventCount {
        requests: cell.latency.count() as f64,
        events: slow.map(|(_, count)| count as f64).sum(),
    }
}

fn failure_bin(bin: &RouteBin) -> EventBin {
    map_bin(bin, failure_count)
}

fn slow_bin(bin: &RouteBin, limit: u8) -> EventBin {
    map_bin(bin, |cell| slow_count(cell, limit))
}

fn map_bin(bin: &RouteBin, count: impl Fn(&EvidenceCell) -> EventCount) -> EventBin {
    let new = bin.new.iter();
    EventBin {
        old: count(&bin.old),
        new: new
            .map(|(server, cell)| (server.clone(), count(cell)))
            .collect(),
    }
}
