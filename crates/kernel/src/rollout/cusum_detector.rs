use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    rollout::{
        EventCount, RouteBin,
        route_judge::{failure_count, slow_count},
        share_curve::fraction_of,
    },
};

/// Level of a cumulative sum at which a doubt begins.
const DOUBT_LIMIT: f64 = 4.6;
const SHORTEST_DOUBT: TimeBudget = TimeBudget::from_secs(10);
const LONGEST_DOUBT: TimeBudget = TimeBudget::from_secs(240);
/// Parts of a move's span that its doubts last at least and at most: a doubt that comes to nothing
/// must not make a short move late.
const SHORTEST_PART_OF_SPAN: u64 = 12;
const LONGEST_PART_OF_SPAN: u64 = 4;
const REST_PART_OF_SPAN: u64 = 12;
/// Length of a doubt from which on the next one does not raise the share.
const LONG_DOUBT: TimeBudget = TimeBudget::from_secs(30);
/// Wealth of a test above which a doubt goes on.
const OPEN_WEALTH: f64 = 20.0;
const DOUBT_REQUESTS: f64 = 120.0;
const REST_TIME: TimeBudget = TimeBudget::from_secs(5);
const FAILURE_TOLERANCE: f64 = 0.02;
const FAILURE_EXCESS: f64 = 0.12;
const SLOW_SHARE: f64 = 0.08;
const SLOW_EXCESS_SHARE: f64 = 0.22;
const PRIOR_REQUESTS: f64 = 50.0;
const LARGEST_USUAL_SHARE: f64 = 0.80;

/// Shares of the new version in the first, second and third doubt. The first tells two versions
/// apart soonest; the others keep a fault alive that shows only under load.
const DOUBT_SHARES: [ShareRatio; 3] = [
    ShareRatio::from_ppm(370_000),
    ShareRatio::from_ppm(750_000),
    ShareRatio::from_ppm(900_000),
];

/// Watch for a fault that begins when little traffic is left on the old version.
///
/// Two cumulative sums compare the new version with what is remembered of the old one. They say
/// nothing about the cause, so a doubt only gives the old version enough traffic for a
/// comparison within the same interval. A doubt that comes to nothing ends by itself.
#[derive(Clone, Debug)]
pub struct CusumDetector {
    shortest: TimeBudget,
    longest: TimeBudget,
    rest: TimeBudget,
    failures: f64,
    slow: f64,
    step: usize,
    requests: f64,
    begun_at: Option<ClockInstant>,
    rest_until: ClockInstant,
}

impl CusumDetector {
    /// Builds the watch of a move that lasts for `span`.
    #[must_use]
    pub fn for_span(span: TimeBudget) -> Self {
        Self {
            shortest: SHORTEST_DOUBT.min(fraction_of(span, SHORTEST_PART_OF_SPAN)),
            longest: LONGEST_DOUBT.min(fraction_of(span, LONGEST_PART_OF_SPAN)),
            rest: REST_TIME.min(fraction_of(span, REST_PART_OF_SPAN)),
            failures: 0.0,
            slow: 0.0,
            step: 0,
            requests: 0.0,
            begun_at: None,
            rest_until: ClockInstant::default(),
        }
    }

    /// Takes in the outcomes of one interval.
    pub fn observe(
        &mut self,
        bin: &RouteBin,
        baseline: EventCount,
        tail: Option<u8>,
        wanted: ShareRatio,
        wealth: f64,
        now: ClockInstant,
    ) {
        if self.begun_at.is_some() {
            self.requests += sum_of(bin, failure_count).requests + bin.old.requests as f64;
            self.end_if_over(wealth, now);
            return;
        }
        self.sum_up(bin, baseline, tail);
        let is_doubtful = self.failures.max(self.slow) >= DOUBT_LIMIT;
        if is_doubtful && wanted > self.doubt_share() && self.rest_until.has_passed(now) {
            self.requests = 0.0;
            self.begun_at = Some(now);
        }
    }

    /// Returns the share of the new version while there is a doubt.
    #[must_use]
    pub fn share(&self) -> Option<ShareRatio> {
        self.begun_at.map(|_| self.doubt_share())
    }

    const fn doubt_share(&self) -> ShareRatio {
        DOUBT_SHARES[self.step % DOUBT_SHARES.len()]
    }

    fn sum_up(&mut self, bin: &RouteBin, baseline: EventCount, tail: Option<u8>) {
        let usual = baseline.events / (baseline.requests + PRIOR_REQUESTS);
        let usual = usual.min(LARGEST_USUAL_SHARE);
        let failed = sum_of(bin, failure_count);
        let odds = (usual + FAILURE_TOLERANCE, usual + FAILURE_EXCESS);
        self.failures = sum_after(self.failures, failed, odds);
        if let Some(tail) = tail {
            let slow = sum_of(bin, |cell| slow_count(cell, tail));
            self.slow = sum_after(self.slow, slow, (SLOW_SHARE, SLOW_EXCESS_SHARE));
        }
    }

    fn end_if_over(&mut self, wealth: f64, now: ClockInstant) {
        let Some(begun_at) = self.begun_at else {
            return;
        };
        let lasts = |time| begun_at.after(time).has_passed(now);
        let has_enough = self.requests >= DOUBT_REQUESTS && lasts(self.shortest);
        if !(lasts(self.longest) || has_enough && wealth < OPEN_WEALTH) {
            return;
        }
        if !lasts(LONG_DOUBT) {
            self.step += 1;
        }
        self.begun_at = None;
        self.rest_until = now.after(self.rest);
        self.failures = 0.0;
        self.slow = 0.0;
    }
}

/// Returns a cumulative sum after more requests; `shares` are the usual and the raised share of
/// events among them.
fn sum_after(sum: f64, count: EventCount, shares: (f64, f64)) -> f64 {
    let (usual, raised) = shares;
    let misses = count.requests - count.events;
    let gain = count.events * (raised / usual).ln();
    let loss = misses * ((1.0 - raised) / (1.0 - usual)).ln();
    (sum + gain + loss).clamp(0.0, LARGEST_SUM)
}

const LARGEST_SUM: f64 = 2.0 * DOUBT_LIMIT;

fn sum_of(
    bin: &RouteBin,
    count: impl Fn(&crate::rollout::EvidenceCell) -> EventCount,
) -> EventCount {
    let mut sum = EventCount::default();
    bin.new.values().for_each(|cell| sum.add(count(cell)));
    sum
}
