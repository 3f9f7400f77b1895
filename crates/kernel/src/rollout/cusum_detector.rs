use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::BackendName,
    rollout::{
        EventCount, RouteBin,
        route_judge::{failure_count, slow_count},
        share_curve::fraction_of,
    },
};

/// Value of a cumulative sum (log likelihood ratio) that starts a recheck.
const ALARM_THRESHOLD: f64 = 4.6;
/// The same in a limited move, in which an undecided version must not be called done: two failures
/// in quick succession of a version whose predecessor does not fail.
const DOUBT_THRESHOLD: f64 = 2.3;
/// The same without any one server: a single failure.
const LEAVE_ONE_OUT_THRESHOLD: f64 = 1.2;
const MIN_RECHECK_TIME: TimeBudget = TimeBudget::from_secs(10);
const MAX_RECHECK_TIME: TimeBudget = TimeBudget::from_secs(240);
/// Divisors of a move's span that cap the recheck and cooldown times: a false alarm must not make
/// a short move miss its deadline.
const MIN_RECHECK_SPAN_DIVISOR: u64 = 12;
const MAX_RECHECK_SPAN_DIVISOR: u64 = 4;
const COOLDOWN_SPAN_DIVISOR: u64 = 12;
/// A recheck shorter than this advances the next one to the next of [`RECHECK_SHARES`].
const LONG_RECHECK_TIME: TimeBudget = TimeBudget::from_secs(30);
/// Wealth of the sequential tests at or above which a recheck is inconclusive and continues.
const INCONCLUSIVE_WEALTH: f64 = 20.0;
const MIN_RECHECK_REQUESTS: f64 = 120.0;
const COOLDOWN_TIME: TimeBudget = TimeBudget::from_secs(5);
/// Increase over the baseline failure rate under the null hypothesis.
const NULL_FAILURE_INCREASE: f64 = 0.02;
/// Increase over the baseline failure rate under the alternative.
const FAULT_FAILURE_INCREASE: f64 = 0.12;
/// Rate of requests above the baseline's 95th percentile under the null hypothesis.
const NULL_SLOW_RATE: f64 = 0.08;
/// Rate of requests above the baseline's 95th percentile under the alternative.
const FAULT_SLOW_RATE: f64 = 0.22;
/// Failure-free requests added to the baseline, which smooth its rate while it has few requests.
const PRIOR_REQUESTS: f64 = 50.0;
/// The same for the latest requests of the old version.
const RECENT_PRIOR_REQUESTS: f64 = 10.0;
/// Increase of the failure rate that makes a doubt, in its standard errors.
const DOUBT_ERRORS: f64 = 1.5;
const MAX_BASELINE_FAILURE_RATE: f64 = 0.80;

/// Shares of the new version in successive rechecks. The first one distinguishes the versions
/// with the fewest requests; the higher ones keep enough load on the new version to reproduce a
/// fault that appears only under load.
const RECHECK_SHARES: [ShareRatio; 3] = [
    ShareRatio::from_ppm(370_000),
    ShareRatio::from_ppm(750_000),
    ShareRatio::from_ppm(900_000),
];

/// Detects a fault that begins when little traffic is left on the old version.
///
/// Two cumulative sum (CUSUM) statistics, one for failures and one for slow requests, compare the
/// new version with the decaying counts of the old one. They cannot tell a fault of the new
/// version from one of the whole service, so an alarm only starts a recheck, which returns enough
/// traffic to the old version to compare both within the same interval. A recheck that finds no
/// fault ends on its own.
#[derive(Clone, Debug)]
pub struct CusumDetector {
    min_recheck: TimeBudget,
    max_recheck: TimeBudget,
    cooldown: TimeBudget,
    failure_cusum: f64,
    /// The same without each of the version's servers, in the trial of a limited move.
    leave_one_out: BTreeMap<BackendName, f64>,
    slow_cusum: f64,
    share_index: usize,
    recheck_requests: f64,
    recheck_started_at: Option<ClockInstant>,
    cooldown_until: ClockInstant,
    /// Share of the trial of a limited move.
    trial_share: Option<ShareRatio>,
}

/// What the old version's requests tell of the expected outcomes.
#[derive(Clone, Copy, Debug)]
pub struct DetectorBaseline {
    /// Failures of the old version.
    pub old: EventCount,
    /// Its latest failures, including those of the interval.
    pub recent_old: EventCount,
    /// The latest failures of the new version, including those of the interval.
    pub recent_new: EventCount,
    /// Latency bucket of its 95th percentile.
    pub p95_bucket: Option<u8>,
}

/// Shares of the new version in an interval.
#[derive(Clone, Copy, Debug)]
pub struct DetectorShares {
    /// Share that the plan gives it.
    pub planned: ShareRatio,
    /// Share at which it is tried in a limited move.
    pub trial: Option<ShareRatio>,
}

impl CusumDetector {
    /// Creates the detector of a move that lasts for `span`.
    #[must_use]
    pub fn for_span(span: TimeBudget) -> Self {
        Self {
            min_recheck: MIN_RECHECK_TIME.min(fraction_of(span, MIN_RECHECK_SPAN_DIVISOR)),
            max_recheck: MAX_RECHECK_TIME.min(fraction_of(span, MAX_RECHECK_SPAN_DIVISOR)),
            cooldown: COOLDOWN_TIME.min(fraction_of(span, COOLDOWN_SPAN_DIVISOR)),
            failure_cusum: 0.0,
            leave_one_out: BTreeMap::new(),
            slow_cusum: 0.0,
            share_index: 0,
            recheck_requests: 0.0,
            recheck_started_at: None,
            cooldown_until: ClockInstant::default(),
            trial_share: None,
        }
    }

    /// Adds the outcomes of one interval.
    ///
    /// `wealth` is the largest wealth of the sequential tests.
    pub fn observe(
        &mut self,
        bin: &RouteBin,
        baseline: DetectorBaseline,
        shares: DetectorShares,
        wealth: f64,
        now: ClockInstant,
    ) {
        self.trial_share = shares.trial;
        if self.recheck_started_at.is_some() {
            self.recheck_requests +=
                new_version_count(bin, failure_count).requests + bin.old.requests as f64;
            self.end_recheck_if_over(wealth, now);
            return;
        }
        self.update_sums(bin, baseline);
        let is_alarm = match shares.trial {
            Some(trial) => shares.planned >= trial && self.is_surplus(baseline),
            None => {
                let is_alarm = self.failure_cusum.max(self.slow_cusum) >= ALARM_THRESHOLD;
                is_alarm && shares.planned > self.recheck_share()
            }
        };
        if is_alarm && self.cooldown_until.has_passed(now) {
            self.recheck_requests = 0.0;
            self.recheck_started_at = Some(now);
        }
    }

    /// Returns the share of the new version during a recheck.
    #[must_use]
    pub fn share(&self) -> Option<ShareRatio> {
        self.recheck_started_at.map(|_| self.recheck_share())
    }

    /// Returns whether the version fails more often than the old one does and did, with any one of its
    /// servers left out.
    fn is_surplus(&self, baseline: DetectorBaseline) -> bool {
        self.failure_cusum >= DOUBT_THRESHOLD
            && self.is_uncertain()
            && exceeds(baseline.recent_new, baseline.recent_old, DOUBT_ERRORS)
    }

    /// Returns whether a failure is not explained, with any one server left out, in the trial of a
    /// limited move.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        let least = match self.leave_one_out.len() {
            0 | 1 => self.failure_cusum,
            _ => self
                .leave_one_out
                .values()
                .copied()
                .fold(f64::INFINITY, f64::min),
        };
        self.trial_share.is_some() && least >= LEAVE_ONE_OUT_THRESHOLD
    }

    /// Returns the cumulative sums for failures and for slow requests.
    #[must_use]
    pub const fn sums(&self) -> (f64, f64) {
        (self.failure_cusum, self.slow_cusum)
    }

    /// The share of a trial is kept, since a fault under load would not show at a lower one.
    fn recheck_share(&self) -> ShareRatio {
        let index = self.share_index % RECHECK_SHARES.len();
        self.trial_share.unwrap_or(RECHECK_SHARES[index])
    }

    fn update_sums(&mut self, bin: &RouteBin, baseline: DetectorBaseline) {
        let base_rate = smoothed_rate(baseline.old, PRIOR_REQUESTS);
        let base_rate = match self.trial_share {
            Some(_) => base_rate.max(smoothed_rate(baseline.recent_old, RECENT_PRIOR_REQUESTS)),
            None => base_rate,
        };
        let base_rate = base_rate.min(MAX_BASELINE_FAILURE_RATE);
        let failed = new_version_count(bin, failure_count);
        let rates = (
            base_rate + NULL_FAILURE_INCREASE,
            base_rate + FAULT_FAILURE_INCREASE,
        );
        if self.trial_share.is_some() {
            self.update_leave_one_out(bin, failed, rates);
        }
        self.failure_cusum = next_cusum(self.failure_cusum, failed, rates);
        if let Some(p95_bucket) = baseline.p95_bucket {
            let slow = new_version_count(bin, |cell| slow_count(cell, p95_bucket));
            self.slow_cusum = next_cusum(self.slow_cusum, slow, (NULL_SLOW_RATE, FAULT_SLOW_RATE));
        }
    }

    fn update_leave_one_out(&mut self, bin: &RouteBin, failed: EventCount, rates: (f64, f64)) {
        for server in bin.new.keys() {
            if !self.leave_one_out.contains_key(server) {
                let sum = self.failure_cusum;
                self.leave_one_out.insert(server.clone(), sum);
            }
        }
        for (server, sum) in &mut self.leave_one_out {
            let own = bin.new.get(server).map(failure_count).unwrap_or_default();
            let rest = EventCount {
                requests: failed.requests - own.requests,
                events: failed.events - own.events,
            };
            *sum = next_cusum(*sum, rest, rates);
        }
    }

    fn end_recheck_if_over(&mut self, wealth: f64, now: ClockInstant) {
        let Some(recheck_started_at) = self.recheck_started_at else {
            return;
        };
        let has_lasted = |time| recheck_started_at.after(time).has_passed(now);
        let is_long_enough =
            self.recheck_requests >= MIN_RECHECK_REQUESTS && has_lasted(self.min_recheck);
        if !(has_lasted(self.max_recheck) || is_long_enough && wealth < INCONCLUSIVE_WEALTH) {
            return;
        }
        if !has_lasted(LONG_RECHECK_TIME) {
            self.share_index += 1;
        }
        self.recheck_started_at = None;
        self.cooldown_until = now.after(self.cooldown);
        self.failure_cusum = 0.0;
        self.leave_one_out.values_mut().for_each(|sum| *sum = 0.0);
        self.slow_cusum = 0.0;
    }
}

/// Returns whether the failure rate in `new` exceeds that in `old` by more than `errors` standard
/// errors.
pub(crate) fn exceeds(new: EventCount, old: EventCount, errors: f64) -> bool {
    let requests = new.requests + old.requests;
    if requests <= 0.0 {
        return false;
    }
    let mean_rate = (new.events + old.events) / requests;
    let inverse = 1.0 / new.requests.max(1.0) + 1.0 / old.requests.max(1.0);
    let error = (mean_rate * (1.0 - mean_rate) * inverse).sqrt();
    new.event_rate() - old.event_rate() > errors * error
}

fn smoothed_rate(count: EventCount, prior_requests: f64) -> f64 {
    count.events / (count.requests + prior_requests)
}

/// Returns the cumulative sum after the requests in `count`; `rates` are the event rates under the
/// null hypothesis and the alternative.
fn next_cusum(sum: f64, count: EventCount, rates: (f64, f64)) -> f64 {
    let (null_rate, fault_rate) = rates;
    let misses = count.requests - count.events;
    let gain = count.events * (fault_rate / null_rate).ln();
    let loss = misses * ((1.0 - fault_rate) / (1.0 - null_rate)).ln();
    (sum + gain + loss).clamp(0.0, MAX_CUSUM)
}

const MAX_CUSUM: f64 = 2.0 * ALARM_THRESHOLD;

/// Sums the counts of all servers of the new version.
fn new_version_count(
    bin: &RouteBin,
    count: impl Fn(&crate::rollout::EvidenceCell) -> EventCount,
) -> EventCount {
    let mut sum = EventCount::default();
    bin.new.values().for_each(|cell| sum.add(count(cell)));
    sum
}
