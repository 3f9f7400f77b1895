use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, RouteName},
    rollout::{
        EvidenceCell, EvidenceKey, EvidenceSource, MoveRecord, MoveView, NodeEvidence, RouteBin,
        RouteFault, RouteJudge, RouteTally, SharePlan, VersionSide,
    },
};

/// Least length of the intervals in which the versions are compared.
pub const COMPARISON_INTERVAL: TimeBudget = TimeBudget::from_millis(500);

/// Time without evidence after which a data centre counts as unheard.
pub const EVIDENCE_TIMEOUT: TimeBudget = TimeBudget::from_secs(10);

const INTERVAL_REQUESTS: u64 = 24;
const STALE_REQUESTS: u64 = 50;
const MAX_INTERVALS: f64 = 100_000.0;

/// Judge of one move: merges the nodes' evidence, and says what was seen of each route, whether
/// the new version is bad, and whether the evidence held.
///
/// A few nodes of each data centre judge a move; the others go by their [`MoveView`].
#[derive(Clone, Debug)]
pub struct MoveJudge {
    record: MoveRecord,
    plan: SharePlan,
    slots: BTreeMap<EvidenceSource, NodeEvidence>,
    pending: BTreeMap<RouteName, RouteBin>,
    routes: BTreeMap<RouteName, RouteJudge>,
    heard: BTreeMap<DataCentre, ClockInstant>,
    interval_end: ClockInstant,
    view: MoveView,
}

impl MoveJudge {
    /// Builds the judge of a move.
    #[must_use]
    pub fn new(record: MoveRecord, now: ClockInstant) -> Self {
        Self {
            plan: SharePlan::new(record.clone()),
            slots: BTreeMap::new(),
            pending: BTreeMap::new(),
            routes: BTreeMap::new(),
            heard: BTreeMap::new(),
            interval_end: now.after(COMPARISON_INTERVAL),
            view: MoveView::new(record.number, now),
            record,
        }
    }

    /// Merges what a node, or all nodes of another data centre, saw; older or repeated evidence
    /// changes nothing.
    pub fn merge(&mut self, evidence: &NodeEvidence, now: ClockInstant) {
        if evidence.number != self.record.number {
            return;
        }
        self.hear(&evidence.data_centre, now);
        if !self.slots.contains_key(&evidence.source) {
            let empty = self.empty_evidence(evidence);
            self.slots.insert(evidence.source.clone(), empty);
        }
        let Some(held) = self.slots.get_mut(&evidence.source) else {
            return;
        };
        let gap = held.taken_at.elapsed(evidence.taken_at);
        let news = held.merge(evidence);
        let requests: u64 = news.iter().map(|(_, cell)| cell.requests).sum();
        let is_stale = gap > EVIDENCE_TIMEOUT && requests > STALE_REQUESTS;
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
        self.interval_end = now.after(COMPARISON_INTERVAL);
        for (route, bin) in self.take_full() {
            let wanted = self.plan.share(&self.view, &route, now);
            self.judge_of(&route).observe(&bin, wanted, now);
        }
        self.renew_view(now);
        self.routes
            .iter()
            .find_map(|(route, judge)| Some((route.clone(), judge.fault()?)))
    }

    /// Returns what the other nodes need to know, as of the latest interval.
    #[must_use]
    pub const fn view(&self) -> &MoveView {
        &self.view
    }

    /// Returns the judges of the routes that had requests.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &RouteJudge)> {
        self.routes.iter()
    }

    /// Returns the sum of what the nodes of `data_centre` saw, for the judges elsewhere.
    ///
    /// The sums of two judges are views of the same counts and merge like one node's evidence.
    #[must_use]
    pub fn data_centre_evidence(&self, slot: EvidenceSource, centre: &DataCentre) -> NodeEvidence {
        let own = self
            .slots
            .values()
            .filter(|held| held.data_centre == *centre);
        let mut sum =
            NodeEvidence::new(slot, centre.clone(), self.record.number, self.record.start);
        for held in own {
            sum.add(held);
        }
        sum
    }

    /// Takes the routes' outcomes that are enough for a comparison: an interval with a few
    /// requests of one version only says nothing.
    fn take_full(&mut self) -> BTreeMap<RouteName, RouteBin> {
        let (full, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, bin)| bin.requests() >= INTERVAL_REQUESTS);
        self.pending = rest;
        full
    }

    fn hear(&mut self, data_centre: &DataCentre, now: ClockInstant) {
        match self.heard.get_mut(data_centre) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(data_centre.clone(), now);
            }
        }
    }

    fn renew_view(&mut self, now: ClockInstant) {
        let tally = |judge: &RouteJudge| RouteTally {
            old: judge.requests(VersionSide::Old),
            new: judge.requests(VersionSide::New),
            recheck_share: judge.recheck_share(),
        };
        let routes = self.routes.iter();
        self.view.routes = routes
            .map(|(route, judge)| (route.clone(), tally(judge)))
            .collect();
        let heard = self.heard.iter();
        self.view.heard = heard
            .filter(|(_, at)| !at.after(EVIDENCE_TIMEOUT).has_passed(now))
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        self.view.taken_at = now;
        self.view.full_share_since = match self.plan.is_full_share(&self.view, now) {
            true => self.view.full_share_since.or(Some(now)),
            false => None,
        };
    }

    fn empty_evidence(&self, evidence: &NodeEvidence) -> NodeEvidence {
        NodeEvidence::new(
            evidence.source.clone(),
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
        let span = self.record.start.elapsed(self.record.by);
        let intervals = (span.as_secs_f64() / COMPARISON_INTERVAL.as_secs_f64()).min(MAX_INTERVALS);
        self.routes
            .entry(route.clone())
            .or_insert_with(|| RouteJudge::new(span, intervals))
    }
}
