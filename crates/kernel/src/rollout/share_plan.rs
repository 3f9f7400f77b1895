use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::RouteName,
    rollout::{
        COMPARISON_INTERVAL, ExposureLimit, LoadTrial, MoveOutlook, MoveRecord, MoveView,
        RouteTally, ServerGroup, ShareCurve, VersionCapacity, share_curve::ratio_from_f64,
    },
};

const MAX_UNVERIFIED_SHARE: f64 = 0.10;
/// Time of a move before its request rates are estimated.
const MIN_RATE_TIME: TimeBudget = TimeBudget::from_secs(5);
/// Requests required for the full share, as a multiple of the rule's `min_requests`.
const REQUIRED_MULTIPLE: u64 = 3;
/// Expected requests from which on a route is evaluated by itself, as a multiple of `min_requests`.
const SEPARATE_ROUTE_MULTIPLE: f64 = 10.0;
/// Assumed growth of the new version's request rate until it has the required requests.
const RATE_GROWTH: f64 = 2.0;

/// Computes the shares of a move on every node, from the record, the node's clock, and the view of
/// the judges.
#[derive(Clone, Debug)]
pub struct SharePlan {
    record: MoveRecord,
    curve: ShareCurve,
    limit: Option<ExposureLimit>,
    /// Trial under full load, if the exposure is limited and the servers are known.
    trial: Option<LoadTrial>,
}

impl SharePlan {
    /// Creates the plan of a move.
    #[must_use]
    pub fn new(record: MoveRecord) -> Self {
        Self::with_exposure(record, None)
    }

    /// Creates the plan of a move with a limit; see [`ShareCurve::with_exposure`].
    #[must_use]
    pub fn with_exposure(record: MoveRecord, limit: Option<ExposureLimit>) -> Self {
        let curve = ShareCurve::with_exposure(&record, limit.map(|limit| limit.share));
        Self {
            record,
            curve,
            limit,
            trial: None,
        }
    }

    /// Sets the number of servers of the new version, which the shares of a limited move follow.
    pub fn set_server_count(&mut self, servers: usize, view: &MoveView, now: ClockInstant) {
        let Some(limit) = self.limit.filter(|_| servers > 0) else {
            return;
        };
        let rate = self.service_rate(view, now);
        let trial = LoadTrial::for_move(&self.record, limit, servers, rate);
        self.curve = trial.curve;
        self.trial = Some(trial);
    }

    /// Returns the interval at which evidence is sent and compared.
    #[must_use]
    pub fn interval(&self) -> TimeBudget {
        let span = self.record.start.elapsed(self.record.by);
        let limited = self.limit.map(|_| LoadTrial::interval(span));
        limited.unwrap_or(COMPARISON_INTERVAL)
    }

    /// Returns the servers that get the new version's requests at `now`; all of them if `None`.
    #[must_use]
    pub fn server_group(&self, now: ClockInstant) -> Option<ServerGroup> {
        self.trial.map(|trial| trial.group_at(now))
    }

    /// Returns the share at which the version is tried under full load, in a limited move.
    #[must_use]
    pub fn trial_share(&self) -> Option<ShareRatio> {
        self.trial.map(|trial| trial.curve.full_share)
    }

    /// Returns whether a limited move whose version is in doubt has to end: the requests that it
    /// may cost are used up, or its deadline has passed.
    #[must_use]
    pub fn is_trial_over(&self, view: &MoveView, now: ClockInstant) -> bool {
        let tallies = view.routes.values();
        let (new, total) = tallies.fold((0, 0), |(new, total), tally| {
            (new + tally.new, total + tally.total())
        });
        self.trial.is_some_and(|trial| {
            self.record.by.has_passed(now) || trial.is_limit_near(&self.record, new, total, now)
        })
    }

    /// Returns the share of a route's requests that go to the new version at `now`.
    #[must_use]
    pub fn share(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> ShareRatio {
        let recheck_share = view.routes.get(route).and_then(|tally| tally.recheck_share);
        let share = if self.hold_elapsed(view, now) {
            ShareRatio::ALL
        } else {
            self.unrestricted_share(view, route, now)
        };
        recheck_share.map_or(share, |recheck_share| recheck_share.min(share))
    }

    /// Returns whether every route has the full share and no recheck is active.
    #[must_use]
    pub fn is_full_share(&self, view: &MoveView, now: ClockInstant) -> bool {
        !view.routes.is_empty()
            && view.routes.iter().all(|(route, tally)| {
                tally.recheck_share.is_none()
                    && (self.hold_elapsed(view, now)
                        || self.unrestricted_share(view, route, now) >= self.curve.full_share)
            })
    }

    /// Returns whether the full share lasted for the hold time without a fault.
    #[must_use]
    pub fn hold_elapsed(&self, view: &MoveView, now: ClockInstant) -> bool {
        view.full_share_since
            .is_some_and(|since| since.after(self.hold()).has_passed(now))
    }

    /// Returns whether the move is done: the hold has elapsed, and every reachable node knows it.
    #[must_use]
    pub fn is_done(&self, view: &MoveView, now: ClockInstant) -> bool {
        view.full_share_since.is_some_and(|since| {
            let hold_end = since.after(self.hold());
            hold_end.after(self.curve.propagation_time).has_passed(now)
        })
    }

    /// Returns the requests on the new version that allow the full share.
    #[must_use]
    pub const fn required_requests(&self) -> u64 {
        REQUIRED_MULTIPLE * self.record.rule.min_requests as u64
    }

    /// Returns the forecast of whether the move will meet its deadline.
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
        if self.elapsed(now) < MIN_RATE_TIME {
            return MoveOutlook::OnTime;
        }
        self.evidence_outlook(view, now)
    }

    fn evidence_outlook(&self, view: &MoveView, now: ClockInstant) -> MoveOutlook {
        let routes = view.routes.keys();
        let latest = routes
            .map(|route| (self.evidence_complete_at(view, route, now), route))
            .max();
        let Some((expected_at, route)) = latest else {
            return MoveOutlook::NoTraffic;
        };
        if expected_at <= self.curve.full_share_at.max(now) {
            return MoveOutlook::OnTime;
        }
        MoveOutlook::TooLittleEvidence {
            route: route.clone(),
            requests: self.evidence_requests(view, route, now) as u64,
            needed: self.required_requests(),
            expected_at,
        }
    }

    /// Returns the time at full share after which the version counts as good.
    fn hold(&self) -> TimeBudget {
        self.trial.map_or(self.record.rule.hold, |trial| trial.hold)
    }

    /// Returns the share that the curve and the evidence allow before the hold has elapsed, without
    /// the limit of a recheck.
    fn unrestricted_share(
        &self,
        view: &MoveView,
        route: &RouteName,
        now: ClockInstant,
    ) -> ShareRatio {
        let unverified = self.unverified_share(view, route, now);
        let requests = self.evidence_requests(view, route, now);
        let min = f64::from(self.record.rule.min_requests);
        if requests < min {
            return ratio_from_f64(unverified).min(self.curve.full_share);
        }
        if self.trial.is_some() {
            let by_time = self.curve.share_at(now).max(ratio_from_f64(unverified));
            return by_time.min(self.curve.full_share);
        }
        let progress = (requests - min) / (self.required_requests() as f64 - min).max(1.0);
        let by_evidence = ratio_from_f64(unverified + (1.0 - unverified) * progress);
        let by_time = self.curve.share_at(now).max(ratio_from_f64(unverified));
        by_evidence.min(by_time).min(self.curve.full_share)
    }

    /// Returns the share until the version is verified, which is larger for low request rates.
    fn unverified_share(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> f64 {
        if let Some(trial) = &self.trial {
            let requests = f64::from(self.record.rule.min_requests);
            return trial.first_share(requests, self.service_rate(view, now));
        }
        let first = self.record.rule.first_share.as_f64();
        let time = self
            .curve
            .start
            .elapsed(self.curve.ramp_start)
            .as_secs_f64();
        let Some(rate) = self.rate(view, route, now) else {
            return first;
        };
        let required_share = f64::from(self.record.rule.min_requests) / (rate * time).max(1e-9);
        first.max(required_share.min(MAX_UNVERIFIED_SHARE))
    }

    /// Returns the requests that count as evidence for a route: its own, or those of the whole
    /// service if the route will not have enough of its own until the planned full share.
    fn evidence_requests(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> f64 {
        let time_to_full_share = self
            .curve
            .start
            .elapsed(self.curve.full_share_at)
            .as_secs_f64();
        let expected = self
            .rate(view, route, now)
            .map_or(0.0, |rate| rate * time_to_full_share);
        let enough = SEPARATE_ROUTE_MULTIPLE * f64::from(self.record.rule.min_requests);
        let requests = |tally: &RouteTally| tally.new as f64;
        // A trial compares all routes together.
        if expected >= enough && self.trial.is_none() {
            view.routes.get(route).map_or(0.0, requests)
        } else {
            view.routes.values().map(requests).sum()
        }
    }

    /// Returns the expected time at which a route has the requests that allow the full share.
    fn evidence_complete_at(
        &self,
        view: &MoveView,
        route: &RouteName,
        now: ClockInstant,
    ) -> ClockInstant {
        let missing = self.required_requests() as f64 - self.evidence_requests(view, route, now);
        if missing <= 0.0 {
            return now;
        }
        let routes = view.routes.keys();
        let rate: f64 = routes.filter_map(|other| self.rate(view, other, now)).sum();
        let share = self.share(view, route, now).as_f64();
        let secs = missing / (rate * share).max(1e-9) / RATE_GROWTH;
        now.after(TimeBudget::from_micros((secs * 1e6).min(1e15) as u64))
    }

    /// Returns the requests per second on a route, once the move is old enough for an estimate.
    fn rate(&self, view: &MoveView, route: &RouteName, now: ClockInstant) -> Option<f64> {
        let elapsed = self.elapsed(now);
        let tally = view.routes.get(route)?;
        (elapsed >= MIN_RATE_TIME).then(|| tally.total() as f64 / elapsed.as_secs_f64())
    }

    /// Returns the requests per second on all routes, once the move is old enough for an estimate.
    fn service_rate(&self, view: &MoveView, now: ClockInstant) -> Option<f64> {
        let rates = view.routes.keys().map(|route| self.rate(view, route, now));
        let rates: Vec<f64> = rates.flatten().collect();
        (!rates.is_empty()).then(|| rates.iter().sum())
    }

    fn elapsed(&self, now: ClockInstant) -> TimeBudget {
        self.record.start.elapsed(now)
    }
}
