use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, RouteName},
    rollout::{
        EvidenceCell, EvidenceKey, EvidenceSource, MarkCause, MoveEvidence, MoveRecord, MoveView,
        RouteBin, RouteFault, RouteJudge, RouteTally, SharePlan, VersionSide,
    },
};

/// Minimum length of the intervals in which the versions are compared.
pub const COMPARISON_INTERVAL: TimeBudget = TimeBudget::from_millis(500);

/// Time without evidence after which a data centre counts as unreachable.
pub const EVIDENCE_TIMEOUT: TimeBudget = TimeBudget::from_secs(10);

/// Minimum requests of a route in an interval; with fewer, the interval is extended.
const MIN_INTERVAL_REQUESTS: u64 = 24;
/// The same in the trial of a limited move, which has no time to wait.
const MIN_TRIAL_INTERVAL_REQUESTS: u64 = 8;
/// Maximum requests in a report after a gap that are still compared as one interval.
const MAX_CATCH_UP_REQUESTS: u64 = 50;
/// Maximum number of intervals over which a test distributes the prior probability of a fault.
const MAX_INTERVALS: f64 = 100_000.0;

/// Evaluator of one move: merges the evidence of the nodes, counts the requests of each route, and
/// detects faults of the new version.
///
/// A few nodes of each data centre evaluate a move; the others use the [`MoveView`] of these
/// judges.
#[derive(Clone, Debug)]
pub struct MoveJudge {
    record: MoveRecord,
    plan: SharePlan,
    evidence_by_source: BTreeMap<EvidenceSource, MoveEvidence>,
    pending: BTreeMap<RouteName, RouteBin>,
    routes: BTreeMap<RouteName, RouteJudge>,
    /// Failures of all routes, each compared within its own intervals, in a limited move.
    all_routes: RouteJudge,
    last_heard: BTreeMap<DataCentre, ClockInstant>,
    interval_end: ClockInstant,
    view: MoveView,
}

impl MoveJudge {
    /// Creates the judge of a move.
    #[must_use]
    pub fn new(record: MoveRecord, now: ClockInstant) -> Self {
        let plan = SharePlan::new(record.clone());
        Self::with_plan(record, plan, now)
    }

    /// Creates the judge of a move whose shares follow `plan`.
    #[must_use]
    pub fn with_plan(record: MoveRecord, plan: SharePlan, now: ClockInstant) -> Self {
        Self {
            plan,
            evidence_by_source: BTreeMap::new(),
            pending: BTreeMap::new(),
            routes: BTreeMap::new(),
            all_routes: new_judge(&record),
            last_heard: BTreeMap::new(),
            interval_end: now.after(COMPARISON_INTERVAL),
            view: MoveView::new(record.number, now),
            record,
        }
    }

    /// Merges the evidence of a node, or of all nodes of another data centre.
    ///
    /// Outdated or repeated evidence adds no counts.
    pub fn merge(&mut self, evidence: &MoveEvidence, now: ClockInstant) {
        if evidence.number != self.record.number {
            return;
        }
        self.update_last_heard(&evidence.data_centre, now);
        if !self.evidence_by_source.contains_key(&evidence.source) {
            let empty = self.empty_evidence(evidence);
            self.evidence_by_source
                .insert(evidence.source.clone(), empty);
        }
        let Some(known) = self.evidence_by_source.get_mut(&evidence.source) else {
            return;
        };
        let gap = known.taken_at.elapsed(evidence.taken_at);
        let added = known.merge(evidence);
        let requests: u64 = added.iter().map(|(_, cell)| cell.requests).sum();
        let is_stale = gap > EVIDENCE_TIMEOUT && requests > MAX_CATCH_UP_REQUESTS;
        for (key, cell) in added {
            if is_stale {
                self.count_stale(&key, &cell);
            } else {
                self.add_pending(key, &cell);
            }
        }
    }

    /// Evaluates the interval if it is over, and returns the first fault found, if any.
    pub fn tick(&mut self, now: ClockInstant) -> Option<(RouteName, RouteFault)> {
        if !self.interval_end.has_passed(now) {
            return None;
        }
        self.interval_end = now.after(self.plan.interval());
        let trial_share = self.plan.trial_share();
        for (route, bin) in self.take_complete_bins() {
            let planned_share = self.plan.share(&self.view, &route, now);
            self.judge_of(&route)
                .observe(&bin, planned_share, trial_share, now);
            if trial_share.is_some() {
                self.all_routes
                    .observe(&bin, planned_share, trial_share, now);
            }
        }
        self.refresh_view(now);
        let mut routes = self.routes.iter();
        let fault = routes.find_map(|(route, judge)| Some((route.clone(), judge.fault()?)));
        fault.or_else(|| self.trial_fault(now))
    }

    /// Replaces the plan of the shares.
    pub fn set_plan(&mut self, plan: SharePlan) {
        self.plan = plan;
    }

    /// Returns whether the latest failures on the new version forbid to call a limited move done.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.all_routes.is_uncertain()
    }

    /// Returns the fault of a limited move that all routes together show, or that could not be ruled
    /// out before its trial is over; on the route with the largest increase of failures.
    fn trial_fault(&self, now: ClockInstant) -> Option<(RouteName, RouteFault)> {
        self.plan.trial_share()?;
        let is_in_doubt = self.view.is_in_doubt() && self.all_routes.fails_more();
        let is_over = is_in_doubt && self.plan.is_trial_over(&self.view, now);
        if !is_over && self.all_routes.failure_fault().is_none() {
            return None;
        }
        let increase = |judge: &RouteJudge| {
            let (old, new) = judge.failure_rates();
            new - old
        };
        let routes = self.routes.iter();
        let (route, judge) = routes.max_by(|(_, a), (_, b)| increase(a).total_cmp(&increase(b)))?;
        let (old, new) = judge.failure_rates();
        let fault = RouteFault {
            cause: MarkCause::Failures,
            old,
            new,
        };
        Some((route.clone(), fault))
    }

    /// Returns the view for the other nodes, as of the latest interval.
    #[must_use]
    pub const fn view(&self) -> &MoveView {
        &self.view
    }

    /// Returns the judges of all routes with requests.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &RouteJudge)> {
        self.routes.iter()
    }

    /// Returns the total evidence of the nodes of `data_centre`, for the judges in other data
    /// centres.
    ///
    /// The totals of two judges are snapshots of the same counts and merge like the evidence of
    /// one node.
    #[must_use]
    pub fn data_centre_evidence(
        &self,
        source: EvidenceSource,
        data_centre: &DataCentre,
    ) -> MoveEvidence {
        let local = self
            .evidence_by_source
            .values()
            .filter(|evidence| evidence.data_centre == *data_centre);
        let mut sum = MoveEvidence::new(
            source,
            data_centre.clone(),
            self.record.number,
            self.record.start,
        );
        for evidence in local {
            sum.add(evidence);
        }
        sum
    }

    /// Removes and returns the pending bins with enough requests for a comparison.
    ///
    /// A few requests may all be on one version, which leaves nothing to compare.
    fn take_complete_bins(&mut self) -> BTreeMap<RouteName, RouteBin> {
        let min_requests = match self.plan.trial_share() {
            Some(_) => MIN_TRIAL_INTERVAL_REQUESTS,
            None => MIN_INTERVAL_REQUESTS,
        };
        let (complete, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, bin)| bin.requests() >= min_requests);
        self.pending = rest;
        complete
    }

    fn update_last_heard(&mut self, data_centre: &DataCentre, now: ClockInstant) {
        match self.last_heard.get_mut(data_centre) {
            Some(at) => *at = now,
            None => {
                self.last_heard.insert(data_centre.clone(), now);
            }
        }
    }

    fn refresh_view(&mut self, now: ClockInstant) {
        let tally = |judge: &RouteJudge| RouteTally {
            old: judge.requests(VersionSide::Old),
            new: judge.requests(VersionSide::New),
            recheck_share: judge.recheck_share().or(self.all_routes.recheck_share()),
        };
        let routes = self.routes.iter();
        self.view.routes = routes
            .map(|(route, judge)| (route.clone(), tally(judge)))
            .collect();
        let last_heard = self.last_heard.iter();
        self.view.heard = last_heard
            .filter(|(_, at)| !at.after(EVIDENCE_TIMEOUT).has_passed(now))
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        self.view.taken_at = now;
        self.view.full_share_since = match self.plan.is_full_share(&self.view, now) {
            true => self.view.full_share_since.or(Some(now)),
            false => None,
        };
    }

    fn empty_evidence(&self, evidence: &MoveEvidence) -> MoveEvidence {
        MoveEvidence::new(
            evidence.source.clone(),
            evidence.data_centre.clone(),
            evidence.number,
            self.record.start,
        )
    }

    /// Counts requests that cannot be attributed to an interval, without comparing them.
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
        self.routes
            .entry(route.clone())
            .or_insert_with(|| new_judge(&self.record))
    }
}

fn new_judge(record: &MoveRecord) -> RouteJudge {
    let span = record.start.elapsed(record.by);
    let intervals = (span.as_secs_f64() / COMPARISON_INTERVAL.as_secs_f64()).min(MAX_INTERVALS);
    RouteJudge::new(span, intervals)
}
