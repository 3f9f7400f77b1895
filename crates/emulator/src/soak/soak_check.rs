use std::collections::BTreeMap;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

use crate::{
    backend::JournalEntry,
    soak::{CallKind, SoakCall},
};

/// Timeout of the routes used by the soak test.
pub(super) const ROUTE_TIMEOUT: TimeBudget = TimeBudget::from_millis(2_000);
/// Time beyond a route's timeout within which a node must respond; allows for a machine shared with
/// other tests.
const RESPONSE_TOLERANCE: TimeBudget = TimeBudget::from_millis(1_500);
/// Time after the drain request by which a draining server must no longer receive new requests.
const DRAIN_LIMIT: TimeBudget = TimeBudget::from_millis(3_000);

/// Period in which a node's process was stopped, paused or absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOutage {
    /// Index of the node, counted from 0.
    pub node: usize,
    /// Whether the outage is a graceful shutdown.
    pub is_graceful: bool,
    /// Start of the outage.
    pub from: ClockInstant,
    /// End of the outage, when the node is running and listening again.
    pub until: ClockInstant,
}

/// History of a run as recorded by callers, backend servers and nodes.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// Completed and failed calls.
    pub calls: Vec<SoakCall>,
    /// Executions recorded by the backend servers.
    pub runs: Vec<JournalEntry>,
    /// Configuration versions that each node process applied, in order.
    pub versions: Vec<(String, Vec<u64>)>,
    /// Periods in which nodes were unavailable.
    pub outages: Vec<NodeOutage>,
    /// Backend servers that were asked to drain, with the time of the request.
    pub drained: Vec<(String, ClockInstant)>,
}

/// Checks a history against the mesh's invariants and returns every violation.
#[must_use]
pub fn check_invariants(history: &SoakHistory) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
    for run in &history.runs {
        runs.entry(run.target.as_str()).or_default().push(run);
    }
    for call in &history.calls {
        let runs = runs
            .get(call.target.as_str())
            .map_or(&[][..], Vec::as_slice);
        check_call(call, runs, &history.outages, &mut violations);
    }
    for (process, versions) in &history.versions {
        if !versions.is_sorted_by(|earlier, later| earlier < later) {
            violations.push(format!(
                "{process} applied versions {versions:?} out of order"
            ));
        }
    }
    for (server, requested_at) in &history.drained {
        let deadline = requested_at.after(DRAIN_LIMIT);
        let mut runs = history.runs.iter();
        if let Some(run) = runs.find(|run| run.backend == *server && run.at > deadline) {
            let delay = requested_at.elapsed(run.at);
            let target = &run.target;
            violations.push(format!(
                "{server} ran {target} {delay} after it was asked to drain"
            ));
        }
    }
    violations
}

fn check_call(
    call: &SoakCall,
    runs: &[&JournalEntry],
    outages: &[NodeOutage],
    violations: &mut Vec<String>,
) {
    let target = &call.target;
    let servers: Vec<_> = runs.iter().map(|run| run.backend.as_str()).collect();
    if call.is_success() && !call.has_matching_response {
        violations.push(format!(
            "{target} received a response to another call or a partial response"
        ));
    }
    if call.is_success() && runs.is_empty() {
        violations.push(format!("{target} succeeded without being run"));
    }
    if call.kind == CallKind::AtMostOnce && runs.len() > 1 {
        violations.push(format!(
            "{target} may run at most once but ran on {servers:?}"
        ));
    }
    if call.run_state == "not-run" && !runs.is_empty() {
        violations.push(format!(
            "{target} was reported as not run but ran on {servers:?}"
        ));
    }
    let outages_during_call: Vec<_> = outages
        .iter()
        .filter(|outage| outage.overlaps(call))
        .collect();
    let latency = call.sent_at.elapsed(call.ended_at);
    if outages_during_call.is_empty()
        && call.ended_at > call.sent_at.after(ROUTE_TIMEOUT).after(RESPONSE_TOLERANCE)
    {
        violations.push(format!(
            "{target} took {latency} although its node was available"
        ));
    }
    let all_graceful = outages_during_call.iter().all(|outage| outage.is_graceful);
    if call.status.is_none() && !runs.is_empty() && all_graceful {
        violations.push(format!(
            "{target} ran on {servers:?} but its connection broke"
        ));
    }
}

impl NodeOutage {
    fn overlaps(&self, call: &SoakCall) -> bool {
        self.node == call.node && self.from <= call.ended_at && call.sent_at <= self.until
    }
}
