use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::{
    clock::ClockInstant,
    ids::{DataCentre, RouteName, ServiceName},
    rollout::{
        EVIDENCE_TIMEOUT, EvidenceSource, MarkCause, MoveJudge, MoveMark, MoveOutlook, MoveRecord,
        MoveState, MoveView, NodeEvidence, OutcomeReport, RouteFault, SharePlan, VersionBreaker,
        VersionCapacity, VersionSplit,
    },
};

/// The version moves that a node knows, with what it and others saw of them.
#[derive(Clone, Debug)]
pub struct MoveTable {
    slot: EvidenceSource,
    data_centre: DataCentre,
    entries: BTreeMap<ServiceName, MoveEntry>,
    marks: BTreeMap<ServiceName, MoveMark>,
}

#[derive(Clone, Debug)]
struct MoveEntry {
    record: MoveRecord,
    plan: SharePlan,
    is_judge: bool,
    views: BTreeMap<DataCentre, MoveView>,
    own: NodeEvidence,
    judge: MoveJudge,
    quick: VersionBreaker,
}

impl MoveEntry {
    /// Returns the latest view of the data centre `near`, else the latest of any.
    fn received_view(&self, near: &DataCentre, now: ClockInstant) -> Option<&MoveView> {
        let is_fresh = |view: &&MoveView| {
            let ends_at = view.taken_at.after(EVIDENCE_TIMEOUT);
            view.number == self.record.number && !ends_at.has_passed(now)
        };
        let latest = || {
            let views = self.views.values().filter(is_fresh);
            views.max_by_key(|view| view.taken_at)
        };
        self.views.get(near).filter(is_fresh).or_else(latest)
    }
}

impl MoveTable {
    /// Builds an empty table for one run of a node.
    #[must_use]
    pub fn new(slot: EvidenceSource, data_centre: DataCentre) -> Self {
        Self {
            slot,
            data_centre,
            entries: BTreeMap::new(),
            marks: BTreeMap::new(),
        }
    }

    /// Takes in a move record from the platform or a peer and returns whether it was news.
    pub fn merge_record(&mut self, record: MoveRecord, now: ClockInstant) -> bool {
        if let Some(mark) = record.mark.clone() {
            self.merge_mark(&record.service, mark);
        }
        match self.entries.get_mut(&record.service) {
            Some(entry) if !record.replaces(&entry.record) => false,
            Some(entry) if entry.record.number == record.number => {
                entry.record = record;
                true
            }
            _ => {
                let service = record.service.clone();
                let entry = self.new_entry(record, now);
                self.entries.insert(service, entry);
                true
            }
        }
    }

    /// Takes in a mark from a peer and returns whether it was news.
    pub fn merge_mark(&mut self, service: &ServiceName, mark: MoveMark) -> bool {
        let held = self.marks.get(service).cloned();
        let merged = match held.clone() {
            Some(held) => held.merge(mark),
            None => mark,
        };
        let is_news = held.as_ref() != Some(&merged);
        self.marks.insert(service.clone(), merged);
        is_news
    }

    /// Takes in what the judges of a data centre tell of a move.
    pub fn merge_view(&mut self, service: &ServiceName, centre: &DataCentre, view: MoveView) {
        let Some(entry) = self.entries.get_mut(service) else {
            return;
        };
        let held = entry.views.get(centre);
        if held.is_none_or(|held| view.replaces(held)) {
            entry.views.insert(centre.clone(), view);
        }
    }

    /// Sets whether this node is one of the judges of a service's moves.
    pub fn set_judge(&mut self, service: &ServiceName, is_judge: bool) {
        if let Some(entry) = self.entries.get_mut(service) {
            entry.is_judge = is_judge;
        }
    }

    /// Merges what another node, or all nodes of another data centre, saw of a move.
    pub fn merge_evidence(
        &mut self,
        service: &ServiceName,
        evidence: &NodeEvidence,
        now: ClockInstant,
    ) {
        if let Some(entry) = self.entries.get_mut(service) {
            entry.judge.merge(evidence, now);
        }
    }

    /// Returns the split of a route's requests between the versions of its service.
    ///
    /// Without any record of a move every version serves.
    #[must_use]
    pub fn version_split(
        &self,
        service: &ServiceName,
        route: &RouteName,
        now: ClockInstant,
    ) -> VersionSplit {
        let Some(entry) = self.entries.get(service) else {
            return VersionSplit::any();
        };
        let record = &entry.record;
        let (from, to) = (record.from.clone(), record.to.clone());
        let is_marked = self.mark(service).is_some();
        let split = match record.state {
            MoveState::TakenBack => VersionSplit::taken_back(from, to),
            MoveState::Running if is_marked => VersionSplit::taken_back(from, to),
            MoveState::Done if is_marked => VersionSplit::fault_after_done(from, to),
            MoveState::Done => VersionSplit::done(from, to),
            MoveState::Running if entry.quick.is_open(now) => {
                VersionSplit::moving(from, to, crate::config::ShareRatio::NONE)
            }
            MoveState::Running => {
                let share = entry.plan.share(self.view_of(entry, now), route, now);
                VersionSplit::moving(from, to, share)
            }
        };
        split.without(&record.barred)
    }

    /// Counts the outcome of one attempt towards the running move of its service, if any.
    pub fn record_outcome(&mut self, report: &OutcomeReport, now: ClockInstant) {
        let Some(entry) = self.entries.get_mut(&report.service) else {
            return;
        };
        if entry.record.state.is_final() {
            return;
        }
        let Some(side) = entry.record.side_of(&report.version) else {
            return;
        };
        entry.own.record(side, report, now);
        entry.quick.observe(side, report, now);
    }

    /// Ends the interval of every running move, and returns the marks that the evidence asks
    /// for; the table already keeps to them.
    pub fn tick(&mut self, now: ClockInstant) -> Vec<(ServiceName, MoveMark)> {
        let mut marks = Vec::new();
        let centre = self.data_centre.clone();
        for (service, entry) in &mut self.entries {
            if entry.record.state.is_final() {
                continue;
            }
            entry.own.taken_at = now;
            if !entry.is_judge && entry.received_view(&centre, now).is_some() {
                continue;
            }
            entry.judge.merge(&entry.own, now);
            let Some((route, fault)) = entry.judge.tick(now) else {
                continue;
            };
            let mark = MoveMark {
                number: entry.record.number,
                marked_at: now,
                node: Some(self.slot.node.clone()),
                data_centre: Some(self.data_centre.clone()),
                cause: fault.cause,
                figures: figures_of(&route, &fault),
                route: Some(route),
            };
            marks.push((service.clone(), mark));
        }
        marks.retain(|(service, _)| self.mark(service).is_none());
        for (service, mark) in &marks {
            self.merge_mark(service, mark.clone());
        }
        marks
    }

    /// Returns the mark of a service's latest move, if there is one.
    #[must_use]
    pub fn mark(&self, service: &ServiceName) -> Option<&MoveMark> {
        let number = self.entries.get(service)?.record.number;
        self.marks.get(service).filter(|mark| mark.number == number)
    }

    /// Returns the record of a service's latest move.
    #[must_use]
    pub fn record(&self, service: &ServiceName) -> Option<&MoveRecord> {
        self.entries.get(service).map(|entry| &entry.record)
    }

    /// Returns the view by which this node works out its shares of a service's latest move.
    #[must_use]
    pub fn view(&self, service: &ServiceName, now: ClockInstant) -> Option<&MoveView> {
        let entry = self.entries.get(service)?;
        Some(self.view_of(entry, now))
    }

    /// Returns this node's own view of a service's latest move, if it judges it.
    #[must_use]
    pub fn local_view(&self, service: &ServiceName) -> Option<&MoveView> {
        let entry = self.entries.get(service)?;
        entry.is_judge.then(|| entry.judge.view())
    }

    /// Returns the rule by which the shares of a service's latest move are worked out.
    #[must_use]
    pub fn plan(&self, service: &ServiceName) -> Option<&SharePlan> {
        self.entries.get(service).map(|entry| &entry.plan)
    }

    /// Returns this node's judge of a service's latest move.
    #[must_use]
    pub fn judge(&self, service: &ServiceName) -> Option<&MoveJudge> {
        self.entries.get(service).map(|entry| &entry.judge)
    }

    /// Returns whether the evidence held by this node's judging, so that the move is done.
    #[must_use]
    pub fn is_done(&self, service: &ServiceName, now: ClockInstant) -> bool {
        let Some(entry) = self.entries.get(service) else {
            return false;
        };
        let is_running = !entry.record.state.is_final() && self.mark(service).is_none();
        entry.is_judge && is_running && entry.plan.is_done(entry.judge.view(), now)
    }

    /// Returns whether a running move will be done by its time, and if not, why.
    #[must_use]
    pub fn outlook(
        &self,
        service: &ServiceName,
        capacity: VersionCapacity,
        now: ClockInstant,
    ) -> Option<MoveOutlook> {
        let entry = self.entries.get(service)?;
        let view = self.view_of(entry, now);
        (!entry.record.state.is_final()).then(|| entry.plan.outlook(view, capacity, now))
    }

    /// Returns the sum of what this data centre's nodes saw, if this node judges the move.
    #[must_use]
    pub fn data_centre_evidence(&self, service: &ServiceName) -> Option<NodeEvidence> {
        let entry = self.entries.get(service)?;
        let is_wanted = entry.is_judge && !entry.record.state.is_final();
        let slot = EvidenceSource::of_data_centre(&self.data_centre);
        is_wanted.then(|| entry.judge.data_centre_evidence(slot, &self.data_centre))
    }

    /// Returns the latest move of every service.
    pub fn records(&self) -> impl Iterator<Item = &MoveRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the services with a running move.
    #[must_use]
    pub fn running_services(&self) -> Vec<ServiceName> {
        let running = |service: &&ServiceName| self.is_running(service);
        self.entries.keys().filter(running).cloned().collect()
    }

    /// Returns whether a service's latest move is running.
    #[must_use]
    pub fn is_running(&self, service: &ServiceName) -> bool {
        self.record(service)
            .is_some_and(|record| !record.state.is_final())
    }

    /// Returns what this node saw itself of a service's running move, to be sent to its judges.
    #[must_use]
    pub fn local_evidence(&self, service: &ServiceName) -> Option<&NodeEvidence> {
        let entry = self.entries.get(service)?;
        (!entry.record.state.is_final()).then_some(&entry.own)
    }

    /// Returns the own view of a judge, else what it is told, else the own view after all.
    fn view_of<'a>(&self, entry: &'a MoveEntry, now: ClockInstant) -> &'a MoveView {
        let own = entry.judge.view();
        if entry.is_judge {
            return own;
        }
        entry.received_view(&self.data_centre, now).unwrap_or(own)
    }

    fn new_entry(&self, record: MoveRecord, now: ClockInstant) -> MoveEntry {
        let own = NodeEvidence::new(
            self.slot.clone(),
            self.data_centre.clone(),
            record.number,
            now,
        );
        let span = record.start.elapsed(record.by);
        MoveEntry {
            judge: MoveJudge::new(record.clone(), now),
            plan: SharePlan::new(record.clone()),
            is_judge: false,
            views: BTreeMap::new(),
            record,
            own,
            quick: VersionBreaker::for_span(span),
        }
    }
}

fn figures_of(route: &RouteName, fault: &RouteFault) -> CompactString {
    match fault.cause {
        MarkCause::Latency => format_compact!(
            "route {route}: 95th percentile {:.0} ms against {:.0} ms on the old version",
            fault.new * 1e3,
            fault.old * 1e3
        ),
        _ => format_compact!(
            "route {route}: {:.1}% of recent requests failed against {:.1}% on the old version",
            fault.new * 1e2,
            fault.old * 1e2
        ),
    }
}
