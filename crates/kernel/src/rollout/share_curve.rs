use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    rollout::MoveRecord,
};

/// Longest time for a mark or a record to reach every node that can be reached.
pub const MAX_PROPAGATION_TIME: TimeBudget = TimeBudget::from_secs(5);

/// Part of a short move's span in which marks and records settle.
const SETTLE_PART_OF_SPAN: u64 = 10;

/// Share at which the new version counts as whole while the old one keeps a control share.
pub const FULL_SHARE: ShareRatio = ShareRatio::from_ppm(980_000);

const FIRST_PART_OF_RISE: u64 = 5;
const SPARE_PART_OF_SPAN: u64 = 8;

/// How the wanted share of a move grows with time.
///
/// The share stays at the first one for a fifth of the way, then grows by the same factor in
/// every second, and is whole in time for the hold to end before the move is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareCurve {
    first: ShareRatio,
    /// When the move started.
    pub start: ClockInstant,
    /// When the share starts to rise.
    pub ramp_start: ClockInstant,
    /// When the share is whole.
    pub full_share_at: ClockInstant,
    /// Time that the end of the move takes to reach every node.
    pub propagation_time: TimeBudget,
}

impl ShareCurve {
    /// Works out the curve of a move.
    #[must_use]
    pub fn for_move(record: &MoveRecord) -> Self {
        let span = record.start.elapsed(record.by);
        let spare = TimeBudget::from_micros(span.as_micros() / SPARE_PART_OF_SPAN);
        let settle = MAX_PROPAGATION_TIME.min(fraction_of(span, SETTLE_PART_OF_SPAN));
        let latest = record
            .by
            .before(spare)
            .before(settle)
            .before(record.rule.hold);
        let whole_at = latest.max(record.start);
        let way = record.start.elapsed(whole_at).as_micros();
        let first_part = TimeBudget::from_micros(way / FIRST_PART_OF_RISE);
        Self {
            first: record.rule.first_share,
            start: record.start,
            ramp_start: record.start.after(first_part),
            full_share_at: whole_at,
            propagation_time: settle,
        }
    }

    /// Returns whether the time is too short for the hold and a rise of at least its length.
    #[must_use]
    pub fn is_too_short(&self, record: &MoveRecord) -> bool {
        self.start.elapsed(self.full_share_at) < record.rule.hold
    }

    /// Returns the share that time alone allows at `now`.
    #[must_use]
    pub fn share_at(&self, now: ClockInstant) -> ShareRatio {
        if !self.ramp_start.has_passed(now) {
            return self.first;
        }
        if self.full_share_at.has_passed(now) {
            return FULL_SHARE;
        }
        let way = self.ramp_start.elapsed(self.full_share_at).as_secs_f64();
        let part = self.ramp_start.elapsed(now).as_secs_f64() / way;
        let first = self.first.as_f64().max(SMALLEST_SHARE);
        let share = first * (FULL_SHARE.as_f64() / first).powf(part);
        ratio_from_f64(share).min(FULL_SHARE)
    }
}

/// Returns the `part`th part of a span.
pub(crate) const fn fraction_of(span: TimeBudget, part: u64) -> TimeBudget {
    TimeBudget::from_micros(span.as_micros() / part)
}

const SMALLEST_SHARE: f64 = 0.001;
const PPM: f64 = 1_000_000.0;

/// Returns the share next to a number between zero and one.
pub(crate) fn ratio_from_f64(part: f64) -> ShareRatio {
    ShareRatio::from_ppm((part.clamp(0.0, 1.0) * PPM) as u32)
}
