use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    rollout::{
        EventCount, RouteBin,
        route_judge::{failure_count, slow_count},
    },
};

const DOUBT_LIMIT: f64 = 6.9;
const DOUBT_TIME: TimeBudget = TimeBudget::from_secs(15);
const REST_TIME: TimeBudget = TimeBudget::from_secs(20);
const FAILURE_TOLERANCE: f64 = 0.02;
const FAILURE_EXCESS: f64 = 0.12;
const SLOW_SHARE: f64 = 0.08;
const SLOW_EXCESS_SHARE: f64 = 0.22;
const PRIOR_REQUESTS: f64 = 50.0;
const DOUBT_SHARES: [ShareRatio; 3] = [
    ShareRatio::from_ppm(750_000),
    ShareRatio::from_ppm(850_000),
    ShareRatio::from_ppm(920_000),
];

/// Watch for a fault that begins when little traffic is left on the old version.
///
/// Two cumulative sums compare the new version with what is remembered of the old one. They say
/// nothing about the cause, so a doubt only gives the old version enough traffic for a
/// comparison within the same interval. A doubt that comes to nothing ends by itself.
#[derive(Clone, Debug, Default)]
pub struct DoubtWatch {
    failures: f64,
    slow: f64,
    doubts: usize,
    doubt_until: ClockInstant,
    rest_until: ClockInstant,
}

impl DoubtWatch {
    /// Takes in the outcomes of one interval.
    pub fn observe(
        &mut self,
        bin: &RouteBin,
        baseline: EventCount,
        tail: Option<u8>,
        wanted: ShareRatio,
        now: ClockInstant,
    ) {
        let is_idle = wanted <= DOUBT_SHARES[0] || !self.rest_until.has_passed(now);
        if is_idle {
            self.failures = 0.0;
            self.slow = 0.0;
            return;
        }
        let usual = baseline.events / (baseline.requests + PRIOR_REQUESTS);
        let failed = sum_of(bin, failure_count);
        self.failures = raised(
            self.failures,
            failed,
            usual + FAILURE_TOLERANCE,
            usual + FAILURE_EXCESS,
        );
        if let Some(tail) = tail {
            let slow = sum_of(bin, |cell| slow_count(cell, tail));
            self.slow = raised(self.slow, slow, SLOW_SHARE, SLOW_EXCESS_SHARE);
        }
        if self.failures.max(self.slow) >= DOUBT_LIMIT {
            self.begin(now);
        }
    }

    /// Returns the share of the new version while there is a doubt.
    #[must_use]
    pub fn share(&self, now: ClockInstant) -> Option<ShareRatio> {
        let step = self.doubts.checked_sub(1)? % DOUBT_SHARES.len();
        (!self.doubt_until.has_passed(now)).then_some(DOUBT_SHARES[step])
    }

    fn begin(&mut self, now: ClockInstant) {
        self.doubts += 1;
        self.doubt_until = now.after(DOUBT_TIME);
        self.rest_until = now.after(REST_TIME);
        self.failures = 0.0;
        self.slow = 0.0;
    }
}

fn sum_of(
    bin: &RouteBin,
    count: impl Fn(&crate::rollout::EvidenceCell) -> EventCount,
) -> EventCount {
    let mut sum = EventCount::default();
    bin.new.values().for_each(|cell| sum.add(count(cell)));
    sum
}

fn raised(held: f64, count: EventCount, usual: f64, raised: f64) -> f64 {
    let usual = usual.min(0.9);
    let raised = raised.min(0.95);
    let misses = count.requests - count.events;
    let gain = count.events * (raised / usual).ln();
    let loss = misses * ((1.0 - raised) / (1.0 - usual)).ln();
    (held + gain + loss).max(0.0)
}
