use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::BackendName,
    rollout::{
        CusumDetector, EventBin, EventCount, EvidenceCell, LatencyHistogram, MarkCause,
        SequentialTest, VersionSide, decaying_counts::DecayingCounts,
    },
};

/// Wealth at which a test speaks against a version: one false alarm in 2,000 moves and test.
const WEALTH_LIMIT: f64 = 2_000.0;
/// The same without any one server: one false alarm in 30 moves with a sick server.
const REST_LIMIT: f64 = 30.0;
const FAILURE_ODDS: &[f64] = &[3.0, 10.0, 100.0, 1_000.0];
const SLOW_ODDS: &[f64] = &[2.0, 4.0, 16.0];
const MIN_FAILURES: f64 = 2.5;
const MIN_EXCESS: f64 = 0.04;
const MIN_BUCKETS_SLOWER: u8 = 2;
const MIN_BASELINE_LATENCIES: f64 = 30.0;
const MEMORY_OF_NEW: f64 = 60.0;
const MEMORY_OF_OLD: f64 = 500.0;
const SLOW_QUANTILES: [f64; 2] = [0.80, 0.95];

/// Why a version is found bad on a route, in figures.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteFault {
    /// Failures or latency.
    pub cause: MarkCause,
    /// Share of recent failures, or 95th percentile in seconds, on the old version.
    pub old: f64,
    /// The same on the new version.
    pub new: f64,
}

/// Outcomes of a route in one interval, by version and server.
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
    requests: BTreeMap<VersionSide, u64>,
    old: DecayingCounts,
    new: DecayingCounts,
    servers: BTreeMap<BackendName, EventCount>,
    failures: SequentialTest,
    slow: [SequentialTest; 2],
    doubt: CusumDetector,
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
    /// Builds a judge for a move that lasts for `span` and has about `intervals` intervals.
    #[must_use]
    pub fn new(span: TimeBudget, intervals: f64) -> Self {
        let slow = || SequentialTest::new(SLOW_ODDS, intervals);
        Self {
            requests: BTreeMap::new(),
            old: DecayingCounts::new(MEMORY_OF_OLD),
            new: DecayingCounts::new(MEMORY_OF_NEW),
            servers: BTreeMap::new(),
            failures: SequentialTest::new(FAILURE_ODDS, intervals),
            slow: [slow(), slow()],
            doubt: CusumDetector::for_span(span),
        }
    }

    /// Takes in the outcomes of one interval, in which the new version had the share `wanted`.
    pub fn observe(&mut self, bin: &RouteBin, wanted: ShareRatio, now: ClockInstant) {
        let limits = self.slow_limits();
        self.failures.observe(&failure_bin(bin));
        if let Some(limits) = limits {
            for (test, limit) in self.slow.iter_mut().zip(limits) {
                test.observe(&slow_bin(bin, limit));
            }
        }
        let tail = limits.map(|[_, tail]| tail);
        let baseline = self.old.total();
        let wealth = self.wealth();
        self.doubt.observe(bin, baseline, tail, wanted, wealth, now);
        self.count(bin);
    }

    /// Counts requests that are too old to be compared by interval.
    pub fn count_stale(&mut self, side: VersionSide, requests: u64) {
        *self.requests.entry(side).or_default() += requests;
    }

    /// Returns the fault that the evidence shows, if any.
    #[must_use]
    pub fn fault(&self) -> Option<RouteFault> {
        self.failure_fault().or_else(|| self.slow_fault())
    }

    /// Returns the share to which a doubt lowers the new version's, while there is one.
    #[must_use]
    pub fn recheck_share(&self) -> Option<ShareRatio> {
        self.doubt.share()
    }

    /// Returns how many requests one version got on the route.
    #[must_use]
    pub fn requests(&self, side: VersionSide) -> u64 {
        self.requests.get(&side).copied().unwrap_or(0)
    }

    /// Returns the failure shares of the old and the new version over the remembered requests.
    #[must_use]
    pub fn failure_rates(&self) -> (f64, f64) {
        (self.old.total().event_rate(), self.new.total().event_rate())
    }

    /// Returns the 95th percentiles of the old and the new version, where there are latencies.
    #[must_use]
    pub fn p95_latencies(&self) -> (Option<TimeBudget>, Option<TimeBudget>) {
        let tail = |counts: &DecayingCounts| {
            counts
                .quantile(SLOW_QUANTILES[1])
                .map(LatencyHistogram::upper_bound)
        };
        (tail(&self.old), tail(&self.new))
    }

    /// Returns the largest wealth of the tests.
    fn wealth(&self) -> f64 {
        let slow = self.slow.iter().map(|test| test.wealth().0);
        slow.fold(self.failures.wealth().0, f64::max)
    }

    fn failure_fault(&self) -> Option<RouteFault> {
        let (old, new) = self.failure_rates();
        let is_bad = self.failures.rejects_null(WEALTH_LIMIT, REST_LIMIT)
            && self.new.total().events >= MIN_FAILURES
            && new - old >= MIN_EXCESS
            && self.rest_share() - old >= MIN_EXCESS;
        is_bad.then_some(RouteFault {
            cause: MarkCause::Failures,
            old,
            new,
        })
    }

    /// Returns the smallest failure share of the new version without one of its servers.
    fn rest_share(&self) -> f64 {
        let mut all = EventCount::default();
        self.servers.values().for_each(|count| all.add(*count));
        if self.servers.len() < 2 {
            return all.event_rate();
        }
        let without = |own: &EventCount| EventCount {
            requests: all.requests - own.requests,
            events: all.events - own.events,
        };
        let rest = self.servers.values().map(|own| without(own).event_rate());
        rest.fold(f64::INFINITY, f64::min)
    }

    fn slow_fault(&self) -> Option<RouteFault> {
        let old = self.old.quantile(SLOW_QUANTILES[1])?;
        let new = self.new.quantile(SLOW_QUANTILES[1])?;
        let speaks_against = |test: &SequentialTest| test.rejects_null(WEALTH_LIMIT, REST_LIMIT);
        let is_bad =
            self.slow.iter().any(speaks_against) && new >= old.saturating_add(MIN_BUCKETS_SLOWER);
        is_bad.then_some(RouteFault {
            cause: MarkCause::Latency,
            old: LatencyHistogram::upper_bound(old).as_secs_f64(),
            new: LatencyHistogram::upper_bound(new).as_secs_f64(),
        })
    }

    fn slow_limits(&self) -> Option<[u8; 2]> {
        if self.old.latencies() < MIN_BASELINE_LATENCIES {
            return None;
        }
        let [near, far] = SLOW_QUANTILES.map(|part| self.old.quantile(part));
        Some([near?, far?])
    }

    fn count(&mut self, bin: &RouteBin) {
        let on_new = new_requests(bin);
        *self.requests.entry(VersionSide::Old).or_default() += bin.old.requests;
        *self.requests.entry(VersionSide::New).or_default() += on_new as u64;
        self.old.add(failure_count(&bin.old), &bin.old.latency);
        self.servers
            .values_mut()
            .for_each(|held| fade(held, on_new));
        for (server, cell) in &bin.new {
            self.new.add(failure_count(cell), &cell.latency);
            let held = self.servers.entry(server.clone()).or_default();
            held.add(failure_count(cell));
        }
    }
}

/// Lets what came before `requests` more requests weigh less.
fn fade(held: &mut EventCount, requests: f64) {
    let keep = (-requests / MEMORY_OF_NEW).exp();
    held.requests *= keep;
    held.events *= keep;
}

fn new_requests(bin: &RouteBin) -> f64 {
    bin.new.values().map(|cell| cell.requests as f64).sum()
}

/// Returns the requests of a cell, with its failures as the events.
pub(crate) fn failure_count(cell: &EvidenceCell) -> EventCount {
    EventCount {
        requests: cell.requests as f64,
        events: cell.failures as f64,
    }
}

/// Returns the latencies of a cell, with those above the bucket `limit` as the events.
pub(crate) fn slow_count(cell: &EvidenceCell, limit: u8) -> EventCount {
    let slow = cell.latency.iter().filter(|(bucket, _)| *bucket > limit);
    EventCount {
        requests: cell.latency.count() as f64,
        events: slow.map(|(_, hits)| hits as f64).sum(),
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
