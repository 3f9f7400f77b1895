use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::{DataCentre, NodeName, RouteName},
    rollout::{
        EvidenceCell, EvidenceKey, MoveOutlook, MoveRecord, NodeEvidence, NodeSlot, RouteBin,
        RouteFault, RouteJudge, SETTLE, ShareCurve, VersionCapacity, VersionSide, WHOLE_SHARE,
        share_curve::share_of,
    },
};

/// Length of the intervals in which the versions are compared.
pub const INTERVAL: TimeBudget = TimeBudget::from_millis(500);

/// Time without evidence after which a data centre counts as unheard.
pub const HEARING_TIME: TimeBudget = TimeBudget::from_secs(10);

const LARGEST_UNPROVED_SHARE: f64 = 0.10;
const RATE_TIME: TimeBudget = TimeBudget::from_secs(5);
const PROOF_ROUNDS: f64 = 3.0;
const JUDGED_ROUNDS: f64 = 10.0;
const STALE_REQUESTS: u64 = 50;
const MAX_INTERVALS: f64 = 100_000.0;

/// Judge of one move: merges the nodes' evidence, and says what share each route may have,
/// whether the new version is bad, and whether the evidence held.
#[derive(Clone, Debug)]
pub struct MoveJudge {
    record: MoveRecord,
    curve: ShareCurve,
    slots: BTreeMap<NodeSlot, NodeEvidence>,
    pending: BTreeMap<RouteName, RouteBin>,
    routes: BTreeMap<RouteName, RouteJudge>,
    heard: BTreeMap<DataCentre, ClockInstant>,
    interval_end: ClockInstant,
    whole_since: Option<ClockInstant>,
}

impl MoveJudge {
    /// Builds the judge of a move.
    #[must_use]
    pub fn new(record: MoveRecord, now: ClockInstant) -> Self {
        let curve = ShareCurve::of(&record);
        Self {
            record,
            curve,
            slots: BTreeMap::new(),
            pending: BTreeMap::new(),
            routes: BTreeMap::new(),
            heard: BTreeMap::new(),
            interval_end: now.after(INTERVAL),
            whole_since: None,
        }
    }

    /// Merges what a node saw; older or repeated evidence changes nothing.
    pub fn merge(&mut self, evidence: &NodeEvidence, now: ClockInstant) {
        if evidence.number != self.record.number {
            return;
        }
        self.hear(&evidence.data_centre, now);
        if !self.slots.contains_key(&evidence.slot) {
            let empty = self.empty_evidence(evidence);
            self.slots.insert(evidence.slot.clone(), empty);
        }
        let Some(held) = self.slots.get_mut(&evidence.slot) else {
            return;
        };
        let gap = held.taken_at.elapsed(evidence.taken_at);
        let news = held.absorb(evidence);
        let requests: u64 = news.iter().map(|(_, cell)| cell.requests).sum();
        let is_stale = gap > HEARING_TIME && requests > STALE_REQUESTS;
        for (key, cell) in news {
            if is_stale {
                self.count_stale(&key, &cell);
            } else {
                self.add_pending(key, &cell);
            }
        }
    }

    /// Ends the interval if it is over, and returns the fault that the evidence shows, if any.
    pub fn tick(&mut self, now: ClockInstant) -> Option<(RouteName, RouteFault)> {
        if !self.interval_end.has_passed(now) {
            return None;
        }
        self.interval_end = now.after(INTERVAL);
        let pending = std::mem::take(&mut self.pending);
        for (route, bin) in pending {
            let wanted = self.share(&route, now);
            self.judge_of(&route).observe(&bin, wanted, now);
        }
        self.note_whole(now);
        self.routes
            .iter()
            .find_map(|(route, judge)| Some((route.clone(), judge.fault()?)))
    }

    /// Returns the share of a route's requests that go to the new version at `now`.
    #[must_use]
    pub fn share(&self, route: &RouteName, now: ClockInstant) -> ShareRatio {
        let judge = self.routes.get(route);
        let doubt = judge.and_then(RouteJudge::doubt_share);
        let share = if self.is_held(now) {
            ShareRatio::ALL
        } else {
            self.undoubted_share(route, now)
        };
        doubt.map_or(share, |doubt| doubt.min(share))
    }

    /// Returns whether the share was whole and the evidence held for the hold time.
    #[must_use]
    pub fn is_held(&self, now: ClockInstant) -> bool {
        self.whole_since
            .is_some_and(|since| since.after(self.record.rule.hold).has_passed(now))
    }

    /// Returns whether the move is done: held, and every node that can be heard knows.
    #[must_use]
    pub fn is_done(&self, now: ClockInstant) -> bool {
        self.whole_since.is_some_and(|since| {
            since
                .after(self.record.rule.hold)
                .after(SETTLE)
                .has_passed(now)
        })
    }

    /// Returns the data centres whose evidence was heard lately.
    #[must_use]
    pub fn heard(&self, now: ClockInstant) -> Vec<DataCentre> {
        self.heard
            .iter()
            .filter(|(_, at)| !at.after(HEARING_TIME).has_passed(now))
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Returns the judges of the routes that had requests.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &RouteJudge)> {
        self.routes.iter()
    }

    /// Returns the nodes whose evidence was merged.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.slots.keys().map(|slot| &slot.node)
    }

    /// Returns whether the move will be done by its time, and if not, why.
    #[must_use]
    pub fn outlook(&self, capacity: VersionCapacity, now: ClockInstant) -> MoveOutlook {
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
        if self.routes.is_empty() {
            return MoveOutlook::NoTraffic;
        }
        let slowest = self
            .routes
            .keys()
            .map(|route| (self.proof_at(route, now), route))
            .max();
        match slowest {
            Some((at, route)) if at > self.curve.whole_at && self.curve.whole_at > now => {
                MoveOutlook::TooLittleEvidence {
                    route: route.clone(),
                    requests: self.proved_requests(route, now) as u64,
                    needed: self.needed() as u64,
                    expected_at: at,
                }
            }
            _ => MoveOutlook::OnTime,
        }
    }

    fn hear(&mut self, data_centre: &DataCentre, now: ClockInstant) {
        match self.heard.get_mut(data_centre) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(data_centre.clone(), now);
            }
        }
    }

    fn undoubted_share(&self, route: &RouteName, now: ClockInstant) -> ShareRatio {
        let small = self.unproved_share(route, now);
        let requests = self.proved_requests(route, now);
        let min = f64::from(self.record.rule.min_requests);
        if requests < min {
            return share_of(small);
        }
        let rounds = (requests - min) / (self.needed() - min).max(1.0);
        let proved = share_of(small + (1.0 - small) * rounds);
        let by_time = self.curve.share_at(now).max(share_of(small));
        proved.min(by_time).min(WHOLE_SHARE)
    }

    /// Returns the share while the version is unproved: larger where requests are rare.
    fn unproved_share(&self, route: &RouteName, now: ClockInstant) -> f64 {
        let first = self.record.rule.first_share.as_f64();
        let time = self.curve.start.elapsed(self.curve.rise_at).as_secs_f64();
        let Some(rate) = self.rate(route, now) else {
            return first;
        };
        let wanted = f64::from(self.record.rule.min_requests) / (rate * time).max(1e-9);
        first.max(wanted.min(LARGEST_UNPROVED_SHARE))
    }

    /// Returns the requests that speak for a route: its own, or the whole service's where the
    /// route will not have enough of its own before the share is due to be whole.
    fn proved_requests(&self, route: &RouteName, now: ClockInstant) -> f64 {
        let own = |judge: &RouteJudge| judge.requests(VersionSide::New) as f64;
        let way = self.curve.start.elapsed(self.curve.whole_at).as_secs_f64();
        let expected = self.rate(route, now).map_or(0.0, |rate| rate * way);
        let enough = JUDGED_ROUNDS * f64::from(self.record.rule.min_requests);
        if expected >= enough {
            self.routes.get(route).map_or(0.0, own)
        } else {
            self.routes.values().map(own).sum()
        }
    }

    fn needed(&self) -> f64 {
        PROOF_ROUNDS * f64::from(self.record.rule.min_requests)
    }

    /// Returns when a route will have the requests that allow a whole share.
    fn proof_at(&self, route: &RouteName, now: ClockInstant) -> ClockInstant {
        let missing = self.needed() - self.proved_requests(route, now);
        if missing <= 0.0 {
            return now;
        }
        let rate: f64 = self
            .routes
            .keys()
            .filter_map(|other| self.rate(other, now))
            .sum();
        let share = self.share(route, now).as_f64().max(f64::EPSILON);
        let secs = missing / (rate * share).max(1e-9) / GROWTH_WHILE_PROVING;
        now.after(TimeBudget::from_micros((secs * 1e6).min(1e15) as u64))
    }

    /// Returns the requests a second on a route, once they can be told.
    fn rate(&self, route: &RouteName, now: ClockInstant) -> Option<f64> {
        let elapsed = self.elapsed(now);
        let judge = self.routes.get(route)?;
        let requests = judge.requests(VersionSide::Old) + judge.requests(VersionSide::New);
        (elapsed >= RATE_TIME).then(|| requests as f64 / elapsed.as_secs_f64())
    }

    fn elapsed(&self, now: ClockInstant) -> TimeBudget {
        self.record.start.elapsed(now)
    }

    fn note_whole(&mut self, now: ClockInstant) {
        let is_whole = !self.routes.is_empty()
            && self.routes.iter().all(|(route, judge)| {
                judge.doubt_share().is_none()
                    && (self.is_held(now) || self.undoubted_share(route, now) >= WHOLE_SHARE)
            });
        self.whole_since = match (is_whole, self.whole_since) {
            (true, since) => since.or(Some(now)),
            (false, _) => None,
        };
    }

    fn empty_evidence(&self, evidence: &NodeEvidence) -> NodeEvidence {
        NodeEvidence::new(
            evidence.slot.clone(),
            evidence.data_centre.clone(),
            evidence.number,
            self.record.start,
        )
    }

    /// Counts requests that cannot be told apart by interval, without comparing them.
    fn count_stale(&mut self, key: &EvidenceKey, cell: &EvidenceCell) {
        self.judge_of(&key.route)
            .count_stale(key.side, cell.requests);
    }

    fn add_pending(&mut self, key: EvidenceKey, cell: &EvidenceCell) {
        let bin = self.pending.entry(key.route).or_default();
        match key.side {
            VersionSide::Old => bin.old.add(cell),
            VersionSide::New => bin.new.entry(key.backend).or_default().add(cell),
        }
    }

    fn judge_of(&mut self, route: &RouteName) -> &mut RouteJudge {
        let span = self.record.start.elapsed(self.record.by).as_secs_f64();
        let intervals = (span / INTERVAL.as_secs_f64()).min(MAX_INTERVALS);
        self.routes
            .entry(route.clone())
            .or_insert_with(|| RouteJudge::new(intervals))
    }
}

const GROWTH_WHILE_PROVING: f64 = 2.0;
