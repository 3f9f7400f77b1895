use std::collections::BTreeMap;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

use crate::{
    backend::JournalEntry,
    soak::{CallKind, SoakCall},
};

/// Timeout of the soak's routes.
pub(super) const ROUTE_TIMEOUT: TimeBudget = TimeBudget::from_millis(2_000);
/// Time beyond a route's timeout by which a node must have answered, on a machine that other
/// tests share.
const ANSWER_SLACK: TimeBudget = TimeBudget::from_millis(1_500);
/// Time after which a leaving server gets nothing new, from when it was asked to leave.
const LEAVE_TIME: TimeBudget = TimeBudget::from_millis(3_000);

/// A span in which a node's process was stopped, paused or absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOutage {
    /// Node, counted from 0.
    pub node: usize,
    /// Whether it was a graceful shutdown.
    pub is_graceful: bool,
    /// Start of the span.
    pub from: ClockInstant,
    /// End of the span, when the node listens and runs again.
    pub until: ClockInstant,
}

/// What callers, backend servers and nodes showed during a run.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// Every call that ended.
    pub calls: Vec<SoakCall>,
    /// Every run of every backend server.
    pub runs: Vec<JournalEntry>,
    /// Versions that each process of a node put into force, in order.
    pub versions: Vec<(String, Vec<u64>)>,
    /// Spans in which nodes were not up.
    pub outages: Vec<NodeOutage>,
    /// Backend servers that were asked to leave, and when.
    pub drained: Vec<(String, ClockInstant)>,
}

/// Returns every promise of the mesh that a run broke.
#[must_use]
pub fn check_invariants(evidence: &SoakHistory) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
    for run in &evidence.runs {
        runs.entry(run.target.as_str()).or_default().push(run);
    }
    for call in &evidence.calls {
        let runs = runs
            .get(call.target.as_str())
            .map_or(&[][..], Vec::as_slice);
        check_call(call, runs, &evidence.outages, &mut broken);
    }
    for (process, versions) in &evidence.versions {
        if !versions.is_sorted_by(|earlier, later| earlier < later) {
            broken.push(format!("{process} put versions {versions:?} into force"));
        }
    }
    for (server, asked_at) in &evidence.drained {
        let deadline = asked_at.after(LEAVE_TIME);
        let mut late = evidence.runs.iter();
        if let Some(run) = late.find(|run| run.backend == *server && run.at > deadline) {
            let after = asked_at.elapsed(run.at);
            let target = &run.target;
            broken.push(format!(
                "{server} ran {target} {after} after it was asked to leave"
            ));
        }
    }
    broken
}

fn check_call(
    call: &SoakCall,
    runs: &[&JournalEntry],
    outages: &[NodeOutage],
    broken: &mut Vec<String>,
) {
    let target = &call.target;
    let servers: Vec<_> = runs.iter().map(|run| run.backend.as_str()).collect();
    if call.is_served() && !call.is_matching_response {
        broken.push(format!(
            "{target} got the answer of another call, or a part of one"
        ));
    }
    if call.is_served() && runs.is_empty() {
        broken.push(format!("{target} was served and ran nowhere"));
    }
    if call.kind == CallKind::AtMostOnce && runs.len() > 1 {
        broken.push(format!("{target} may run once and ran on {servers:?}"));
    }
    if call.run_state == "not-run" && !runs.is_empty() {
        broken.push(format!(
            "{target} was told not to have run and ran on {servers:?}"
        ));
    }
    let near: Vec<_> = outages
        .iter()
        .filter(|outage| outage.touches(call))
        .collect();
    let took = call.sent_at.elapsed(call.ended_at);
    if near.is_empty() && call.ended_at > call.sent_at.after(ROUTE_TIMEOUT).after(ANSWER_SLACK) {
        broken.push(format!(
            "{target} was held for {took} by a node that was up"
        ));
    }
    let is_graceful = near.iter().all(|outage| outage.is_graceful);
    if call.status.is_none() && !runs.is_empty() && is_graceful {
        broken.push(format!(
            "{target} ran on {servers:?} and its connection broke"
        ));
    }
}

impl NodeOutage {
    fn touches(&self, call: &SoakCall) -> bool {
        self.node == call.node && self.from <= call.ended_at && call.sent_at <= self.until
    }
}
