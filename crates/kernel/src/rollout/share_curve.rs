use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    rollout::MoveRecord,
};

/// Maximum time for a mark or a record to reach every reachable node.
pub const MAX_PROPAGATION_TIME: TimeBudget = TimeBudget::from_secs(5);

/// Divisor of a short move's span that caps the propagation time.
const PROPAGATION_SPAN_DIVISOR: u64 = 10;

/// Share at which the new version counts as full; the rest is a control share of the old one.
pub const FULL_SHARE: ShareRatio = ShareRatio::from_ppm(980_000);

/// Divisor of the time until the full share that gives the time at the first share.
const FIRST_SHARE_DIVISOR: u64 = 5;
/// Divisor of a move's span that gives the reserve before the deadline.
const RESERVE_SPAN_DIVISOR: u64 = 8;

/// Divisor of the time until the full share that gives the time of growth if the exposure is limited.
const LIMITED_GROWTH_DIVISOR: u64 = 5;
/// Divisor of a move's span that gives the time in which a fault is found and every node knows it:
/// as long as a recheck of a short move.
const DETECTION_SPAN_DIVISOR: u64 = 12;
/// Longest time in which a fault is found and every node knows it.
const MAX_DETECTION_TIME: TimeBudget = TimeBudget::from_secs(10);
/// Steps of the search for the full share, which halve its range.
const SEARCH_STEPS: u32 = 20;

/// Planned share of the new version over time.
///
/// The share stays at the first share for a fifth of the time, then grows exponentially, and
/// reaches the full share early enough for the hold to end before the deadline.
///
/// If the operators limit the requests that a faulty version may get, the share stays at the first
/// one for longer, and the full share is one at which a fault that begins at the end of the hold is
/// found within the limit. The new version gets the rest of the traffic when the move is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareCurve {
    /// Share at the start.
    pub first: ShareRatio,
    /// Share that counts as full.
    pub full_share: ShareRatio,
    /// Start time of the move.
    pub start: ClockInstant,
    /// Time at which the share starts to grow.
    pub ramp_start: ClockInstant,
    /// Time at which the share is full.
    pub full_share_at: ClockInstant,
    /// Time for the end of the move to reach every node.
    pub propagation_time: TimeBudget,
}

impl ShareCurve {
    /// Computes the curve of a move.
    #[must_use]
    pub fn for_move(record: &MoveRecord) -> Self {
        Self::with_exposure(record, None)
    }

    /// Computes the curve of a move in which a faulty version may get the share `max_exposure` of
    /// the requests of the whole span.
    #[must_use]
    pub fn with_exposure(record: &MoveRecord, max_exposure: Option<ShareRatio>) -> Self {
        let span = record.start.elapsed(record.by);
        let reserve = TimeBudget::from_micros(span.as_micros() / RESERVE_SPAN_DIVISOR);
        let propagation_time =
            MAX_PROPAGATION_TIME.min(fraction_of(span, PROPAGATION_SPAN_DIVISOR));
        let latest = record
            .by
            .before(reserve)
            .before(propagation_time)
            .before(record.rule.hold);
        let full_share_at = latest.max(record.start);
        let time_to_full_share = record.start.elapsed(full_share_at).as_micros();
        let first_share_time = TimeBudget::from_micros(time_to_full_share / FIRST_SHARE_DIVISOR);
        let curve = Self {
            first: record.rule.first_share,
            full_share: FULL_SHARE,
            start: record.start,
            ramp_start: record.start.after(first_share_time),
            full_share_at,
            propagation_time,
        };
        match max_exposure {
            Some(max_exposure) => curve.limited(record, max_exposure),
            None => curve,
        }
    }

    /// Returns the curve with a later growth and the largest full share that keeps to the limit.
    fn limited(self, record: &MoveRecord, max_exposure: ShareRatio) -> Self {
        let span = record.start.elapsed(record.by);
        let growth_time = self.start.elapsed(self.full_share_at);
        let growth_time = fraction_of(growth_time, LIMITED_GROWTH_DIVISOR);
        let ramp_start = self.full_share_at.before(growth_time);
        let detection = MAX_DETECTION_TIME.min(fraction_of(span, DETECTION_SPAN_DIVISOR));
        let full_time = record.rule.hold.as_secs_f64()
            + self.propagation_time.as_secs_f64()
            + detection.as_secs_f64();
        let first = self.first.as_f64().max(MIN_SHARE);
        let first_time = self.start.elapsed(ramp_start).as_secs_f64();
        // The mean of exponential growth is the difference of its ends over that of their logarithms.
        let exposure = |full: f64| {
            let mean_growth = (full - first) / (full / first).ln().max(f64::EPSILON);
            first * first_time + mean_growth * growth_time.as_secs_f64() + full * full_time
        };
        let limit = max_exposure.as_f64() * span.as_secs_f64();
        let (mut low, mut high) = (first, FULL_SHARE.as_f64().max(first));
        if exposure(high) <= limit {
            low = high;
        }
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            match exposure(middle) <= limit {
                true => low = middle,
                false => high = middle,
            }
        }
        Self {
            full_share: ratio_from_f64(low),
            ramp_start,
            ..self
        }
    }

    /// Returns whether the time until the full share is shorter than the hold time.
    #[must_use]
    pub fn is_too_short(&self, record: &MoveRecord) -> bool {
        self.start.elapsed(self.full_share_at) < record.rule.hold
    }

    /// Returns the planned share at `now`, regardless of evidence.
    #[must_use]
    pub fn share_at(&self, now: ClockInstant) -> ShareRatio {
        if !self.ramp_start.has_passed(now) {
            return self.first;
        }
        if self.full_share_at.has_passed(now) {
            return self.full_share;
        }
        let ramp_time = self.ramp_start.elapsed(self.full_share_at).as_secs_f64();
        let progress = self.ramp_start.elapsed(now).as_secs_f64() / ramp_time;
        let first = self.first.as_f64().max(MIN_SHARE);
        let share = first * (self.full_share.as_f64() / first).powf(progress);
        ratio_from_f64(share).min(self.full_share)
    }
}

/// Returns a span divided by `divisor`.
pub(crate) const fn fraction_of(span: TimeBudget, divisor: u64) -> TimeBudget {
    TimeBudget::from_micros(span.as_micros() / divisor)
}

/// Minimum initial share of the exponential growth, which cannot start at zero.
const MIN_SHARE: f64 = 0.001;
const PPM: f64 = 1_000_000.0;

/// Converts a number to a ratio, clamped to between zero and one.
pub(crate) fn ratio_from_f64(value: f64) -> ShareRatio {
    ShareRatio::from_ppm((value.clamp(0.0, 1.0) * PPM) as u32)
}
