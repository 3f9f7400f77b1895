use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::RouteName,
    rollout::{
        FULL_SHARE, MoveOutlook, MoveRecord, MoveView, RouteTally, ShareCurve, VersionCapacity,
        share_curve::ratio_from_f64,
    },
};

const LARGEST_UNPROVED_SHARE: f64 = 0.10;
const RATE_TIME: TimeBudget = TimeBudget::from_secs(5);
const PROOF_ROUNDS: u64 = 3;
const JUDGED_ROUNDS: f64 = 10.0;
const GROWTH_WHILE_PROVING: f64 = 2.0;

/// Rule by which every node works out the shares of a move from the record, its clock, and what
/// the judges tell.
#[derive(Clone, Debug)]
pub struct SharePlan {
    record: MoveRecord,
    curve: ShareCurve,
}

impl SharePlan {
    /// Builds the plan of a move.
    #[must_use]
    pub fn new(record: MoveRecord) -> Self {
        let curve = ShareCurve::for_move(&record);
        Self { record, curve }
    }

    /// Returns the share of a route's requests that go to the new version at `now`.
    #[must_use]
    pub fn share(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> ShareRatio {
        let doubt = view.routes.get(route).and_then(|tally| tally.recheck_share);
        let share = if self.hold_elapsed(view, now) {
            ShareRatio::ALL
        } else {
            self.undoubted_share(view, route, now)
        };
        doubt.map_or(share, |doubt| doubt.min(share))
    }

    /// Returns whether every route's share is whole and none is doubted.
    #[must_use]
    pub fn is_full_share(&self, view: &MoveView, now: ClockInstant) -> bool {
        !view.routes.is_empty()
            && view.routes.iter().all(|(route, tally)| {
                tally.recheck_share.is_none()
                    && (self.hold_elapsed(view, now)
                        || self.undoubted_share(view, route, now) >= FULL_SHARE)
            })
    }

    /// Returns whether the share was whole and the evidence held for the hold time.
    #[must_use]
    pub fn hold_elapsed(&self, view: &MoveView, now: ClockInstant) -> bool {
        view.full_share_since
            .is_some_and(|since| since.after(self.record.rule.hold).has_passed(now))
    }

    /// Returns whether the move is done: held, and every node that can be heard knows.
    #[must_use]
    pub fn is_done(&self, view: &MoveView, now: ClockInstant) -> bool {
        view.full_share_since.is_some_and(|since| {
            let held_at = since.after(self.record.rule.hold);
            held_at.after(self.curve.propagation_time).has_passed(now)
        })
    }

    /// Returns the requests on the new version that allow a whole share.
    #[must_use]
    pub const fn required_requests(&self) -> u64 {
        PROOF_ROUNDS * self.record.rule.min_requests as u64
    }

    /// Returns whether the move will be done by its time, and if not, why.
    #[must_use]
    pub fn outlook(
        &self,
        view: &MoveView,
        capacity: VersionCapacity,
        now: ClockInstant,
    ) -> MoveOutlook {
        if self.record.by.has_passed(now) {
            return MoveOutlook::Late;
        }
        if self.curve.is_too_short(&self.record) {
            return MoveOutlook::TooShort;
        }
        if capacity.new.get() == 0 {
            return MoveOutlook::NoServer;
        }
        if capacity.new.get() < capacity.old.get() / 2 {
            return MoveOutlook::TooFewSlots { capacity };
        }
        if self.elapsed(now) < RATE_TIME {
            return MoveOutlook::OnTime;
        }
        self.evidence_outlook(view, now)
    }

    fn evidence_outlook(&self, view: &MoveView, now: ClockInstant) -> MoveOutlook {
        let proofs = view.routes.keys();
        let latest = proofs
            .map(|route| (self.proof_at(view, route, now), route))
            .max();
        let Some((expected_at, route)) = latest else {
            return MoveOutlook::NoTraffic;
        };
        if expected_at <= self.curve.full_share_at.max(now) {
            return MoveOutlook::OnTime;
        }
        MoveOutlook::TooLittleEvidence {
            route: route.clone(),
            requests: self.proved_requests(view, route, now) as u64,
            needed: self.required_requests(),
            expected_at,
        }
    }

    fn undoubted_share(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> ShareRatio {
        let small = self.unproved_share(view, route, now);
        let requests = self.proved_requests(view, route, now);
        let min = f64::from(self.record.rule.min_requests);
        if requests < min {
            return ratio_from_f64(small);
        }
        let rounds = (requests - min) / (self.required_requests() as f64 - min).max(1.0);
        let proved = ratio_from_f64(small + (1.0 - small) * rounds);
        let by_time = self.curve.share_at(now).max(ratio_from_f64(small));
        proved.min(by_time).min(FULL_SHARE)
    }

    /// Returns the share while the version is unproved: larger where requests are rare.
    fn unproved_share(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> f64 {
        let first = self.record.rule.first_share.as_f64();
        let time = self
            .curve
            .start
            .elapsed(self.curve.ramp_start)
            .as_secs_f64();
        let Some(rate) = self.rate(view, route, now) else {
            return first;
        };
        let wanted = f64::from(self.record.rule.min_requests) / (rate * time).max(1e-9);
        first.max(wanted.min(LARGEST_UNPROVED_SHARE))
    }

    /// Returns the requests that speak for a route: its own, or the whole service's where the
    /// route will not have enough of its own before the share is due to be whole.
    fn proved_requests(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> f64 {
        let way = self
            .curve
            .start
            .elapsed(self.curve.full_share_at)
            .as_secs_f64();
        let expected = self.rate(view, route, now).map_or(0.0, |rate| rate * way);
        let enough = JUDGED_ROUNDS * f64::from(self.record.rule.min_requests);
        let requests = |tally: &RouteTally| tally.new as f64;
        if expected >= enough {
            view.routes.get(route).map_or(0.0, requests)
        } else {
            view.routes.values().map(requests).sum()
        }
    }

    /// Returns when a route will have the requests that allow a whole share.
    fn proof_at(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> ClockInstant {
        let missing = self.required_requests() as f64 - self.proved_requests(view, route, now);
        if missing <= 0.0 {
            return now;
        }
        let routes = view.routes.keys();
        let rate: f64 = routes.filter_map(|other| self.rate(view, other, now)).sum();
        let share = self.share(view, route, now).as_f64();
        let secs = missing / (rate * share).max(1e-9) / GROWTH_WHILE_PROVING;
        now.after(TimeBudget::from_micros((secs * 1e6).min(1e15) as u64))
    }

    /// Returns the requests a second on a route, once they can be told.
    fn rate(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> Option<f64> {
        let elapsed = self.elapsed(now);
        let tally = view.routes.get(route)?;
        (elapsed >= RATE_TIME).then(|| tally.total() as f64 / elapsed.as_secs_f64())
    }

    fn elapsed(&self, now: ClockInstant) -> TimeBudget {
        self.record.start.elapsed(now)
    }
}
