use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    rollout::{
        EventCount, RouteBin,
        route_judge::{failure_count, slow_count},
        share_curve::fraction_of,
    },
};

/// Value of a cumulative sum (log likelihood ratio) that starts a recheck.
const ALARM_THRESHOLD: f64 = 4.6;
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
    slow_cusum: f64,
    share_index: usize,
    recheck_requests: f64,
    recheck_started_at: Option<ClockInstant>,
    cooldown_until: ClockInstant,
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
            slow_cusum: 0.0,
            share_index: 0,
            recheck_requests: 0.0,
            recheck_started_at: None,
            cooldown_until: ClockInstant::default(),
        }
    }

    /// Adds the outcomes of one interval.
    ///
    /// `baseline` counts the failures of the old version, `p95_bucket` is the latency bucket of its
    /// 95th percentile, `planned_share` is the share of the new version in the interval, and
    /// `wealth` is the largest wealth of the sequential tests.
    pub fn observe(
        &mut self,
        bin: &RouteBin,
        baseline: EventCount,
        p95_bucket: Option<u8>,
        planned_share: ShareRatio,
        wealth: f64,
        now: ClockInstant,
    ) {
        if self.recheck_started_at.is_some() {
            self.recheck_requests +=
                new_version_count(bin, failure_count).requests + bin.old.requests as f64;
            self.end_recheck_if_over(wealth, now);
            return;
        }
        self.update_sums(bin, baseline, p95_bucket);
        let is_alarm = self.failure_cusum.max(self.slow_cusum) >= ALARM_THRESHOLD;
        if is_alarm && planned_share > self.recheck_share() && self.cooldown_until.has_passed(now) {
            self.recheck_requests = 0.0;
            self.recheck_started_at = Some(now);
        }
    }

    /// Returns the share of the new version during a recheck.
    #[must_use]
    pub fn share(&self) -> Option<ShareRatio> {
        self.recheck_started_at.map(|_| self.recheck_share())
    }

    /// Returns the cumulative sums for failures and for slow requests.
    #[must_use]
    pub const fn sums(&self) -> (f64, f64) {
        (self.failure_cusum, self.slow_cusum)
    }

    const fn recheck_share(&self) -> ShareRatio {
        RECHECK_SHARES[self.share_index % RECHECK_SHARES.len()]
    }

    fn update_sums(&mut self, bin: &RouteBin, baseline: EventCount, p95_bucket: Option<u8>) {
        let base_rate = baseline.events / (baseline.requests + PRIOR_REQUESTS);
        let base_rate = base_rate.min(MAX_BASELINE_FAILURE_RATE);
        let failed = new_version_count(bin, failure_count);
        let rates = (
            base_rate + NULL_FAILURE_INCREASE,
            base_rate + FAULT_FAILURE_INCREASE,
        );
        self.failure_cusum = next_cusum(self.failure_cusum, failed, rates);
        if let Some(p95_bucket) = p95_bucket {
            let slow = new_version_count(bin, |cell| slow_count(cell, p95_bucket));
            self.slow_cusum = next_cusum(self.slow_cusum, slow, (NULL_SLOW_RATE, FAULT_SLOW_RATE));
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
        self.slow_cusum = 0.0;
    }
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
