use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, IncarnationNumber, NodeName, ServiceName},
    rollout::{COMPARISON_INTERVAL, EvidenceReport, NodeEvidence, choose_judges},
};
use futures::future;

use crate::{
    gossip::GossipPool,
    node::{NodeState, StopSignal},
};

const SEND_BUDGET: TimeBudget = TimeBudget::from_millis(400);
/// Time between two reports to the judges of other data centres.
const FAR_INTERVAL: TimeBudget = TimeBudget::from_secs(2);
/// Time after which a judge is told that nothing has changed, so that the node counts as heard.
const IDLE_INTERVAL: TimeBudget = TimeBudget::from_secs(3);

/// Nodes that judge the moves of a service, by data centre.
pub(crate) type JudgeMap = BTreeMap<DataCentre, BTreeSet<NodeName>>;

/// Returns the judges of every running move that this node knows.
pub(crate) fn judges_of_running_moves(state: &NodeState) -> BTreeMap<ServiceName, JudgeMap> {
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

/// Tells the judges what this node saw until the stop signal.
pub async fn run_evidence(state: Arc<NodeState>, pool: Rc<GossipPool>, mut stop: StopSignal) {
    let mut sender = EvidenceSender::new(Arc::clone(&state), pool);
    while stop.sleep(COMPARISON_INTERVAL.to_std()).await {
        let judges = judges_of_running_moves(&state);
        sender.send(&judges, state.now()).await;
    }
}

/// Tells the judges of running moves what this node, or its data centre, saw.
///
/// A judge gets only the counts that have changed since it last confirmed a report.
pub(crate) struct EvidenceSender {
    state: Arc<NodeState>,
    pool: Rc<GossipPool>,
    confirmed: BTreeMap<ReportKey, ConfirmedReport>,
}

/// One run of a judge, and the service that it is told about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    node: NodeName,
    incarnation: IncarnationNumber,
    service: ServiceName,
}

struct ConfirmedReport {
    at: ClockInstant,
    evidence: NodeEvidence,
}

impl EvidenceSender {
    pub(crate) const fn new(state: Arc<NodeState>, pool: Rc<GossipPool>) -> Self {
        Self {
            state,
            pool,
            confirmed: BTreeMap::new(),
        }
    }

    /// Sends what is due.
    pub(crate) async fn send(
        &mut self,
        judges: &BTreeMap<ServiceName, JudgeMap>,
        now: ClockInstant,
    ) {
        let due = self.due_reports(judges, now);
        let wanted: BTreeSet<&ReportKey> = due.keys().collect();
        let is_running = |key: &ReportKey| judges.contains_key(&key.service);
        self.confirmed
            .retain(|key, _| wanted.contains(key) || is_running(key));
        let sends = due.into_iter().map(|(key, evidence)| {
            let confirmed = self.confirmed.get(&key).map(|held| &held.evidence);
            let report = EvidenceReport {
                service: key.service.clone(),
                evidence: evidence.changed_since(confirmed),
            };
            self.send_one(key, evidence, report, now)
        });
        // The counts only grow, so a lost report is made good by the next one.
        let sent: Vec<_> = future::join_all(sends).await;
        for (key, evidence) in sent.into_iter().flatten() {
            let report = ConfirmedReport { at: now, evidence };
            self.confirmed.insert(key, report);
        }
    }

    async fn send_one(
        &self,
        key: ReportKey,
        evidence: NodeEvidence,
        report: EvidenceReport,
        now: ClockInstant,
    ) -> Option<(ReportKey, NodeEvidence)> {
        let address = self.state.peer_address_of(&key.node).ok()?;
        let deadline = now.after(SEND_BUDGET);
        let sent = self.pool.evidence(address, vec![report], deadline).await;
        sent.ok().map(|()| (key, evidence))
    }

    fn due_reports(
        &self,
        judges: &BTreeMap<ServiceName, JudgeMap>,
        now: ClockInstant,
    ) -> BTreeMap<ReportKey, NodeEvidence> {
        let members = self.state.members();
        let own = &self.state.settings;
        let mut due = BTreeMap::new();
        for (service, map) in judges {
            let near = map.get(&own.data_centre);
            let rank = near.and_then(|nodes| nodes.iter().position(|node| *node == own.node));
            for (centre, nodes) in map {
                let is_near = *centre == own.data_centre;
                let receivers = match (is_near, rank) {
                    (true, _) => nodes.iter().collect(),
                    // Judges of the same rank exchange the sums of their data centres.
                    (false, Some(rank)) => {
                        nodes.iter().nth(rank % nodes.len()).into_iter().collect()
                    }
                    (false, None) => Vec::new(),
                };
                for node in receivers.into_iter().filter(|node| **node != own.node) {
                    let Some(row) = members.get(node) else {
                        continue;
                    };
                    let key = ReportKey {
                        node: node.clone(),
                        incarnation: row.incarnation,
                        service: service.clone(),
                    };
                    if let Some(evidence) = self.due_evidence(&key, is_near, now) {
                        due.insert(key, evidence);
                    }
                }
            }
        }
        due
    }

    /// Returns the evidence for a judge, unless it has heard enough lately.
    fn due_evidence(
        &self,
        key: &ReportKey,
        is_near: bool,
        now: ClockInstant,
    ) -> Option<NodeEvidence> {
        let confirmed = self.confirmed.get(key);
        let has_passed = |interval| {
            confirmed.is_none_or(|held: &ConfirmedReport| held.at.after(interval).has_passed(now))
        };
        if !is_near && !has_passed(FAR_INTERVAL) {
            return None;
        }
        let table = self.state.rollout.table();
        let evidence = match is_near {
            true => table.local_evidence(&key.service)?.clone(),
            false => table.data_centre_evidence(&key.service)?,
        };
        drop(table);
        let is_told = confirmed.is_some_and(|held| held.evidence.cells == evidence.cells);
        (!is_told || has_passed(IDLE_INTERVAL)).then_some(evidence)
    }
}
