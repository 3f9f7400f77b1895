use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, IncarnationNumber, NodeName, ServiceName},
    rollout::{EvidenceReport, MoveEvidence, choose_judges},
};
use futures::future;

use crate::{
    gossip::GossipPool,
    node::{NodeState, StopSignal},
};

/// Interval at which this node checks which reports are due; the shortest interval between reports.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const SEND_TIMEOUT: TimeBudget = TimeBudget::from_millis(400);
/// Longest interval between reports to judges in other data centres.
const REMOTE_INTERVAL: TimeBudget = TimeBudget::from_secs(2);
/// Divisor of a short move's span that caps that interval, down to the interval within a data centre,
/// so that a judge knows what the other data centres saw in the hold before it calls the move done.
const REMOTE_SPAN_DIVISOR: u64 = 64;
/// Interval at which unchanged evidence is sent again, so that the judge counts the node as heard.
const UNCHANGED_INTERVAL: TimeBudget = TimeBudget::from_secs(3);

/// Judges of a service's moves, by data centre.
pub(crate) type JudgeMap = BTreeMap<DataCentre, BTreeSet<NodeName>>;

/// Returns the judges of every running move known to this node.
pub(crate) fn running_move_judges(state: &NodeState) -> BTreeMap<ServiceName, JudgeMap> {
    let services = state.rollout.table().running_services();
    if services.is_empty() {
        return BTreeMap::new();
    }
    let members = state.members();
    let judges = services.into_iter().map(|service| {
        let map = choose_judges(&members, &service);
        (service, map)
    });
    judges.collect()
}

/// Sends evidence to the judges of running moves until the stop signal.
pub async fn run_evidence(state: Arc<NodeState>, pool: Rc<GossipPool>, mut stop: StopSignal) {
    let mut sender = EvidenceSender::new(Arc::clone(&state), pool);
    while stop.tick(TICK_INTERVAL).await {
        let judges = running_move_judges(&state);
        sender.send(&judges, state.now()).await;
    }
}

/// Sends the evidence of this node, or of its data centre, to the judges of running moves.
///
/// A report holds only the counts that have changed since the judge last confirmed one.
pub(crate) struct EvidenceSender {
    state: Arc<NodeState>,
    pool: Rc<GossipPool>,
    confirmed: BTreeMap<ReportKey, ConfirmedReport>,
}

/// Receiver of reports: one incarnation of a judge, for one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    node: NodeName,
    incarnation: IncarnationNumber,
    service: ServiceName,
}

struct ConfirmedReport {
    at: ClockInstant,
    evidence: MoveEvidence,
}

impl EvidenceSender {
    pub(crate) const fn new(state: Arc<NodeState>, pool: Rc<GossipPool>) -> Self {
        Self {
            state,
            pool,
            confirmed: BTreeMap::new(),
        }
    }

    /// Sends the reports that are due.
    pub(crate) async fn send(
        &mut self,
        judges: &BTreeMap<ServiceName, JudgeMap>,
        now: ClockInstant,
    ) {
        let due = self.due_reports(judges, now);
        let due_keys: BTreeSet<&ReportKey> = due.keys().collect();
        let is_running = |key: &ReportKey| judges.contains_key(&key.service);
        self.confirmed
            .retain(|key, _| due_keys.contains(key) || is_running(key));
        let sends = due.into_iter().map(|(key, evidence)| {
            let confirmed = self.confirmed.get(&key).map(|report| &report.evidence);
            let report = EvidenceReport {
                service: key.service.clone(),
                evidence: evidence.changed_since(confirmed),
            };
            self.send_one(key, evidence, report, now)
        });
        // Counts only increase, so the next report makes up for a lost one.
        let sent: Vec<_> = future::join_all(sends).await;
        for (key, evidence) in sent.into_iter().flatten() {
            let report = ConfirmedReport { at: now, evidence };
            self.confirmed.insert(key, report);
        }
    }

    async fn send_one(
        &self,
        key: ReportKey,
        evidence: MoveEvidence,
        report: EvidenceReport,
        now: ClockInstant,
    ) -> Option<(ReportKey, MoveEvidence)> {
        let address = self.state.peer_address_of(&key.node).ok()?;
        let deadline = now.after(SEND_TIMEOUT);
        let sent = self
            .pool
            .report_evidence(address, vec![report], deadline)
            .await;
        sent.ok().map(|()| (key, evidence))
    }

    fn due_reports(
        &self,
        judges: &BTreeMap<ServiceName, JudgeMap>,
        now: ClockInstant,
    ) -> BTreeMap<ReportKey, MoveEvidence> {
        let members = self.state.members();
        let settings = &self.state.settings;
        let mut due = BTreeMap::new();
        for (service, map) in judges {
            let local_judges = map.get(&settings.data_centre);
            let rank =
                local_judges.and_then(|nodes| nodes.iter().position(|node| *node == settings.node));
            for (centre, nodes) in map {
                let is_local = *centre == settings.data_centre;
                let receivers = match (is_local, rank) {
                    (true, _) => nodes.iter().collect(),
                    // Judges of equal rank exchange the totals of their data centres.
                    (false, Some(rank)) => {
                        nodes.iter().nth(rank % nodes.len()).into_iter().collect()
                    }
                    (false, None) => Vec::new(),
                };
                for node in receivers.into_iter().filter(|node| **node != settings.node) {
                    let Some(row) = members.get(node) else {
                        continue;
                    };
                    let key = ReportKey {
                        node: node.clone(),
                        incarnation: row.incarnation,
                        service: service.clone(),
                    };
                    if let Some(evidence) = self.due_evidence(&key, is_local, now) {
                        due.insert(key, evidence);
                    }
                }
            }
        }
        due
    }

    /// Returns the evidence for a judge if a report is due.
    fn due_evidence(
        &self,
        key: &ReportKey,
        is_local: bool,
        now: ClockInstant,
    ) -> Option<MoveEvidence> {
        let confirmed = self.confirmed.get(key);
        let has_passed = |interval| {
            confirmed
                .is_none_or(|report: &ConfirmedReport| report.at.after(interval).has_passed(now))
        };
        let table = self.state.rollout.table();
        let span = table
            .record(&key.service)
            .map(|record| record.start.elapsed(record.by))?;
        let cap = TimeBudget::from_micros(span.as_micros() / REMOTE_SPAN_DIVISOR);
        let interval = table.plan(&key.service)?.interval();
        let due_after = match is_local {
            true => interval,
            false => REMOTE_INTERVAL.min(cap).max(interval),
        };
        if !has_passed(due_after) {
            return None;
        }
        let evidence = match is_local {
            true => table.local_evidence(&key.service)?.clone(),
            false => table.data_centre_evidence(&key.service)?,
        };
        drop(table);
        let is_confirmed = confirmed.is_some_and(|report| report.evidence.cells == evidence.cells);
        (!is_confirmed || has_passed(UNCHANGED_INTERVAL)).then_some(evidence)
    }
}
