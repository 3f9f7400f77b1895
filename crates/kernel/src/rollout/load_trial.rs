use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    rollout::{
        COMPARISON_INTERVAL, ExposureLimit, FULL_SHARE, MoveRecord, ShareCurve,
        share_curve::fraction_of,
    },
};

/// Divisor of the exposure limit that gives the highest first share.
const FIRST_SHARE_DIVISOR: f64 = 5.0;
/// Requests that a version should have had before its trial, in those that it must have had: with
/// chance it then has enough.
const EVIDENCE_FACTOR: f64 = 2.0;
/// Divisor of a move's span that gives the reserve before the deadline.
const RESERVE_SPAN_DIVISOR: u64 = 8;
/// Divisor of a move's span that gives the time for which the old servers get nothing new before
/// they may be stopped.
const DRAIN_SPAN_DIVISOR: u64 = 20;
/// Longest such time.
const MAX_DRAIN_TIME: TimeBudget = TimeBudget::from_secs(5);
/// Divisor of a move's span that gives the time of growth from the first share.
const GROWTH_SPAN_DIVISOR: u64 = 16;
/// Longest time of growth.
const MAX_GROWTH_TIME: TimeBudget = TimeBudget::from_secs(10);
/// Divisor of a move's span that gives the time of a trial, unless the rule's hold is longer.
const HOLD_SPAN_DIVISOR: u64 = 4;
/// Divisor of a move's span that gives the time in which a fault is found and every node knows it.
const DETECTION_SPAN_DIVISOR: u64 = 12;
/// Longest time in which a fault is found and every node knows it.
const MAX_DETECTION_TIME: TimeBudget = TimeBudget::from_secs(10);
/// Times of detection that an undecided trial keeps in reserve.
const LIMIT_MARGIN: f64 = 1.5;
/// Shortest time for which a server gets its full load; a queue takes about as long to build up.
const MIN_SLICE_TIME: TimeBudget = TimeBudget::from_secs(1);
/// Longest time for which the same servers get the requests.
const MAX_SLICE_TIME: TimeBudget = TimeBudget::from_secs(5);

/// Divisor of a move's span that gives the interval at which evidence is sent and compared.
const INTERVAL_SPAN_DIVISOR: u64 = 64;
/// Shortest such interval.
const MIN_INTERVAL: TimeBudget = TimeBudget::from_millis(250);

/// Servers of the new version that get its requests for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerGroup {
    /// Number of servers.
    pub size: usize,
    /// Servers by which each group is ahead of the one before. Nodes that differ in the size thereby
    /// agree on most servers of a group.
    pub stride: usize,
    /// Number of groups that came before it.
    pub turn: u64,
}

impl ServerGroup {
    /// Returns whether the group contains the server at `position` among `count` servers in name
    /// order.
    #[must_use]
    pub const fn contains(&self, position: usize, count: usize) -> bool {
        if self.size >= count {
            return true;
        }
        let turns = self.turn % count as u64;
        let first = (turns as usize * self.stride) % count;
        (position + count - first) % count < self.size
    }
}

/// Trial of a new version under the load that its servers will have, within the exposure limit.
///
/// A small share spread over all servers of a version loads each of them with that share of its
/// later load, so that a fault under load does not show. The same requests are therefore sent to as
/// few servers as they load fully, and the servers take turns, so that a fault of one server can be
/// told from one of the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTrial {
    /// Shares over time; the full one is that of the servers under trial.
    pub curve: ShareCurve,
    /// Time at the full share without a fault after which the version counts as good.
    pub hold: TimeBudget,
    limit: ExposureLimit,
    /// Time in which a fault is found and every node knows it.
    detection_time: TimeBudget,
    group_size: usize,
    /// Size of the groups as far as it follows from the move alone.
    stride: usize,
    /// Time for which a group gets the requests.
    slice: TimeBudget,
}

impl LoadTrial {
    /// Computes the trial of a move to `servers` servers of the new version, at least one; `rate` is
    /// the requests per second of the service, if they are known.
    #[must_use]
    pub fn for_move(
        record: &MoveRecord,
        limit: ExposureLimit,
        servers: usize,
        rate: Option<f64>,
    ) -> Self {
        let servers = servers.max(1);
        let span = record.start.elapsed(record.by);
        let limit_secs = limit.secs(span.as_secs_f64(), rate);
        let first_limit =
            ShareRatio::from_ppm((f64::from(limit.share.as_ppm()) / FIRST_SHARE_DIVISOR) as u32);
        let first = record.rule.first_share.min(first_limit);
        let detection_time = MAX_DETECTION_TIME.min(fraction_of(span, DETECTION_SPAN_DIVISOR));
        let wanted_hold = record.rule.hold.max(fraction_of(span, HOLD_SPAN_DIVISOR));
        // Seconds at a share of the servers until the limit, less those in which a fault is found.
        let hold_secs = |limit_secs: f64, size: usize| {
            let trial_limit = (limit_secs - first.as_f64() * span.as_secs_f64()).max(0.0);
            trial_limit * servers as f64 / size as f64 - detection_time.as_secs_f64()
        };
        let largest_group = |limit_secs: f64| {
            let is_long_enough =
                |size: &usize| hold_secs(limit_secs, *size) >= wanted_hold.as_secs_f64();
            (1..=servers).rev().find(is_long_enough).unwrap_or(1)
        };
        let group_size = largest_group(limit_secs);
        let stride = largest_group(limit.secs(span.as_secs_f64(), None));
        let hold_limit = hold_secs(limit_secs, group_size).max(0.0);
        let possible_hold = TimeBudget::from_micros((hold_limit * 1e6) as u64);
        let hold = wanted_hold.min(possible_hold).max(record.rule.hold);
        let full_share = share_of(group_size, servers);
        // Without old servers at work there is nothing left to drain after the trial.
        let drain_time = match group_size < servers {
            true => MAX_DRAIN_TIME.min(fraction_of(span, DRAIN_SPAN_DIVISOR)),
            false => TimeBudget::ZERO,
        };
        let reserve = fraction_of(span, RESERVE_SPAN_DIVISOR);
        let latest = record.by.before(reserve).before(drain_time).before(hold);
        let full_share_at = latest.max(record.start);
        let growth_time = MAX_GROWTH_TIME.min(fraction_of(span, GROWTH_SPAN_DIVISOR));
        let groups = servers.div_ceil(stride) as u64;
        Self {
            curve: ShareCurve {
                first,
                full_share,
                start: record.start,
                ramp_start: full_share_at.before(growth_time).max(record.start),
                full_share_at,
                propagation_time: drain_time,
            },
            hold,
            limit,
            detection_time,
            group_size,
            stride,
            slice: fraction_of(wanted_hold, groups)
                .max(MIN_SLICE_TIME.min(fraction_of(wanted_hold, 2)))
                .clamp(TimeBudget::from_millis(1), MAX_SLICE_TIME),
        }
    }

    /// Returns the share before the trial, which is larger for a low request rate, so that the version
    /// has had twice `min_requests` by then.
    #[must_use]
    pub fn first_share(&self, min_requests: f64, rate: Option<f64>) -> f64 {
        let first = self.curve.first.as_f64();
        let time = self.curve.start.elapsed(self.curve.ramp_start);
        let required = rate.map_or(0.0, |rate| {
            EVIDENCE_FACTOR * min_requests / (rate * time.as_secs_f64()).max(1e-9)
        });
        first.max(required.min(self.limit.share.as_f64()))
    }

    /// Returns the interval at which the evidence of a limited move of `span` is sent and compared.
    #[must_use]
    pub fn interval(span: TimeBudget) -> TimeBudget {
        fraction_of(span, INTERVAL_SPAN_DIVISOR).clamp(MIN_INTERVAL, COMPARISON_INTERVAL)
    }

    /// Returns the servers that get the new version's requests at `now`.
    #[must_use]
    pub const fn group_at(&self, now: ClockInstant) -> ServerGroup {
        let elapsed = self.curve.start.elapsed(now).as_micros();
        ServerGroup {
            size: self.group_size,
            stride: self.stride,
            turn: elapsed / self.slice.as_micros(),
        }
    }

    /// Returns whether the version would exceed the limit before a fault that shows now is known
    /// everywhere, if it has had `new` of `total` requests since the start.
    #[must_use]
    pub fn is_limit_near(
        &self,
        record: &MoveRecord,
        new: u64,
        total: u64,
        now: ClockInstant,
    ) -> bool {
        let elapsed = record.start.elapsed(now).as_secs_f64();
        let new_secs = new as f64 / (total as f64).max(1.0) * elapsed;
        let rate = total as f64 / elapsed.max(f64::EPSILON);
        let span = record.start.elapsed(record.by).as_secs_f64();
        let limit = self.limit.secs(span, Some(rate));
        // The requests that are counted here are some tenths of a second old.
        let later_secs = LIMIT_MARGIN * self.detection_time.as_secs_f64();
        let later = self.curve.full_share.as_f64() * later_secs;
        new_secs + later >= limit
    }
}

fn share_of(size: usize, servers: usize) -> ShareRatio {
    if size >= servers {
        return FULL_SHARE;
    }
    ShareRatio::from_ppm((size as f64 / servers as f64 * 1e6) as u32)
}
