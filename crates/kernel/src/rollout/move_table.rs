use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::{
    clock::ClockInstant,
    config::ShareRatio,
    ids::{DataCentre, RouteName, ServiceName},
    rollout::{
        EVIDENCE_TIMEOUT, EvidenceSource, ExposureLimit, MarkCause, MoveEvidence, MoveJudge,
        MoveMark, MoveOutlook, MoveRecord, MoveState, MoveView, OutcomeReport, RouteFault,
        SharePlan, VersionBreaker, VersionCapacity, VersionSplit,
    },
};

/// Version moves known to a node, with the evidence of this node and others.
#[derive(Clone, Debug)]
pub struct MoveTable {
    source: EvidenceSource,
    data_centre: DataCentre,
    entries: BTreeMap<ServiceName, MoveEntry>,
    marks: BTreeMap<ServiceName, MoveMark>,
    exposure_limit: Option<ExposureLimit>,
}

#[derive(Clone, Debug)]
struct MoveEntry {
    record: MoveRecord,
    plan: SharePlan,
    is_judge: bool,
    views: BTreeMap<DataCentre, MoveView>,
    local_evidence: MoveEvidence,
    judge: MoveJudge,
    breaker: VersionBreaker,
}

impl MoveEntry {
    fn is_recent(&self, view: &MoveView, now: ClockInstant) -> bool {
        let expires_at = view.taken_at.after(EVIDENCE_TIMEOUT);
        view.number == self.record.number && !expires_at.has_passed(now)
    }

    /// Returns the recent view of `data_centre`, or else the latest recent view of any data centre.
    fn received_view(&self, data_centre: &DataCentre, now: ClockInstant) -> Option<&MoveView> {
        let is_fresh = |view: &&MoveView| self.is_recent(view, now);
        let latest = || {
            let views = self.views.values().filter(is_fresh);
            views.max_by_key(|view| view.taken_at)
        };
        self.views.get(data_centre).filter(is_fresh).or_else(latest)
    }
}

impl MoveTable {
    /// Creates an empty table for one incarnation of a node.
    #[must_use]
    pub fn new(source: EvidenceSource, data_centre: DataCentre) -> Self {
        Self {
            source,
            data_centre,
            entries: BTreeMap::new(),
            marks: BTreeMap::new(),
            exposure_limit: None,
        }
    }

    /// Limits the requests that a faulty version may get, for moves that start later. All nodes must
    /// have the same limit.
    pub const fn limit_exposure(&mut self, limit: Option<ExposureLimit>) {
        self.exposure_limit = limit;
    }

    /// Merges a move record from the platform or a peer and returns whether it was new.
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

    /// Merges a mark from a peer and returns whether it changed the table.
    pub fn merge_mark(&mut self, service: &ServiceName, mark: MoveMark) -> bool {
        let current = self.marks.get(service).cloned();
        let merged = match current.clone() {
            Some(current) => current.merge(mark),
            None => mark,
        };
        let is_changed = current.as_ref() != Some(&merged);
        self.marks.insert(service.clone(), merged);
        is_changed
    }

    /// Merges the view of a move from the judges of a data centre.
    pub fn merge_view(&mut self, service: &ServiceName, data_centre: &DataCentre, view: MoveView) {
        let Some(entry) = self.entries.get_mut(service) else {
            return;
        };
        let current = entry.views.get(data_centre);
        if current.is_none_or(|current| view.replaces(current)) {
            entry.views.insert(data_centre.clone(), view);
        }
    }

    /// Sets whether this node is one of the judges of a service's moves.
    pub fn set_judge(&mut self, service: &ServiceName, is_judge: bool) {
        if let Some(entry) = self.entries.get_mut(service) {
            entry.is_judge = is_judge;
        }
    }

    /// Sets the number of servers of a move's new version that this node knows.
    pub fn set_server_count(&mut self, service: &ServiceName, servers: usize, now: ClockInstant) {
        let Some(entry) = self.entries.get(service) else {
            return;
        };
        let view = self.view_of(entry, now).clone();
        if let Some(entry) = self.entries.get_mut(service) {
            entry.plan.set_server_count(servers, &view, now);
            entry.judge.set_plan(entry.plan.clone());
        }
    }

    /// Merges the evidence about a move from another node, or all nodes of another data centre.
    pub fn merge_evidence(
        &mut self,
        service: &ServiceName,
        evidence: &MoveEvidence,
        now: ClockInstant,
    ) {
        if let Some(entry) = self.entries.get_mut(service) {
            entry.judge.merge(evidence, now);
        }
    }

    /// Returns the split of a route's requests between the versions of its service.
    ///
    /// Without a record of a move, requests go to any version.
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
            MoveState::Running if entry.breaker.is_open(now) => {
                VersionSplit::moving(from, to, ShareRatio::NONE)
            }
            MoveState::Running => {
                let share = entry.plan.share(self.view_of(entry, now), route, now);
                VersionSplit::moving(from, to, share).within(entry.plan.server_group(now))
            }
        };
        split.without(&record.barred)
    }

    /// Records the outcome of one attempt as evidence about the running move of its service, if
    /// there is one. Returns whether this node stops sending to the new version for a while because
    /// of it.
    pub fn record_outcome(&mut self, report: &OutcomeReport, now: ClockInstant) -> bool {
        let Some(entry) = self.entries.get_mut(&report.service) else {
            return false;
        };
        if entry.record.state.is_final() {
            return false;
        }
        let Some(side) = entry.record.side_of(&report.version) else {
            return false;
        };
        entry.local_evidence.record(side, report, now);
        entry.breaker.observe(side, report, now)
    }

    /// Evaluates every running move and returns the marks of new faults, which are already in the
    /// table.
    ///
    /// A node that is not a judge of a move evaluates it only while it has no recent view of it.
    pub fn tick(&mut self, now: ClockInstant) -> Vec<(ServiceName, MoveMark)> {
        let mut marks = Vec::new();
        let data_centre = self.data_centre.clone();
        for (service, entry) in &mut self.entries {
            if entry.record.state.is_final() {
                continue;
            }
            entry.local_evidence.taken_at = now;
            if !entry.is_judge && entry.received_view(&data_centre, now).is_some() {
                continue;
            }
            entry.judge.merge(&entry.local_evidence, now);
            let Some((route, fault)) = entry.judge.tick(now) else {
                continue;
            };
            let mark = MoveMark {
                number: entry.record.number,
                marked_at: now,
                node: Some(self.source.node.clone()),
                data_centre: Some(self.data_centre.clone()),
                cause: fault.cause,
                figures: format_figures(&route, &fault),
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

    /// Returns the view from which this node computes its shares of a service's latest move.
    #[must_use]
    pub fn view(&self, service: &ServiceName, now: ClockInstant) -> Option<&MoveView> {
        let entry = self.entries.get(service)?;
        Some(self.view_of(entry, now))
    }

    /// Returns this node's own view of a service's latest move, if it is a judge of it.
    #[must_use]
    pub fn local_view(&self, service: &ServiceName) -> Option<&MoveView> {
        let entry = self.entries.get(service)?;
        entry.is_judge.then(|| entry.judge.view())
    }

    /// Returns the plan of the shares of a service's latest move.
    #[must_use]
    pub fn plan(&self, service: &ServiceName) -> Option<&SharePlan> {
        self.entries.get(service).map(|entry| &entry.plan)
    }

    /// Returns this node's judge of a service's latest move.
    #[must_use]
    pub fn judge(&self, service: &ServiceName) -> Option<&MoveJudge> {
        self.entries.get(service).map(|entry| &entry.judge)
    }

    /// Returns whether a running move is done, if this node is a judge of it and no judge of
    /// another data centre has a doubt.
    #[must_use]
    pub fn is_done(&self, service: &ServiceName, now: ClockInstant) -> bool {
        let Some(entry) = self.entries.get(service) else {
            return false;
        };
        let is_running = !entry.record.state.is_final() && self.mark(service).is_none();
        let mut views = entry.views.values();
        let is_in_doubt = views.any(|view| entry.is_recent(view, now) && view.is_in_doubt());
        let is_held = entry.plan.is_done(entry.judge.view(), now);
        let is_uncertain = is_in_doubt || entry.judge.is_uncertain();
        entry.is_judge && is_running && is_held && !is_uncertain
    }

    /// Returns the forecast of whether a running move will meet its deadline.
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

    /// Returns the total evidence of this data centre's nodes, if this node is a judge of the move.
    #[must_use]
    pub fn data_centre_evidence(&self, service: &ServiceName) -> Option<MoveEvidence> {
        let entry = self.entries.get(service)?;
        let is_active_judge = entry.is_judge && !entry.record.state.is_final();
        let source = EvidenceSource::of_data_centre(&self.data_centre);
        is_active_judge.then(|| entry.judge.data_centre_evidence(source, &self.data_centre))
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

    /// Returns this node's own evidence about a service's running move, to be sent to its judges.
    #[must_use]
    pub fn local_evidence(&self, service: &ServiceName) -> Option<&MoveEvidence> {
        let entry = self.entries.get(service)?;
        (!entry.record.state.is_final()).then_some(&entry.local_evidence)
    }

    /// Returns the local view on a judge, otherwise the received view, or the local view if there
    /// is none.
    fn view_of<'a>(&self, entry: &'a MoveEntry, now: ClockInstant) -> &'a MoveView {
        let local_view = entry.judge.view();
        if entry.is_judge {
            return local_view;
        }
        entry
            .received_view(&self.data_centre, now)
            .unwrap_or(local_view)
    }

    fn new_entry(&self, record: MoveRecord, now: ClockInstant) -> MoveEntry {
        let local_evidence = MoveEvidence::new(
            self.source.clone(),
            self.data_centre.clone(),
            record.number,
            now,
        );
        let span = record.start.elapsed(record.by);
        let plan = SharePlan::with_exposure(record.clone(), self.exposure_limit);
        MoveEntry {
            judge: MoveJudge::with_plan(record.clone(), plan.clone(), now),
            plan,
            is_judge: false,
            views: BTreeMap::new(),
            record,
            local_evidence,
            breaker: VersionBreaker::for_span(span),
        }
    }
}

fn format_figures(route: &RouteName, fault: &RouteFault) -> CompactString {
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
