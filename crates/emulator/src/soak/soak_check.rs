use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::RequestRate,
};

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

/// Time after which a stated limit binds, and the window in which requests count.
const LIMIT_DELAY: TimeBudget = TimeBudget::from_secs(3);
const LIMIT_WINDOW: TimeBudget = TimeBudget::from_secs(4);
/// Requests that are allowed in a window: this multiple of the limit, and some more.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

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

/// Period in which a backend server states a rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatedPeriod {
    /// Name of the server.
    pub server: String,
    /// Limit that every response states.
    pub limit: RequestRate,
    /// Start of the period.
    pub from: ClockInstant,
    /// End of the period.
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
    /// Limits that backend servers stated.
    pub limits: Vec<StatedPeriod>,
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
    for period in &history.limits {
        violations.extend(check_limit(period, history));
    }
    violations
}

/// Returns a violation if a server ran more requests than its limit allows in some window.
///
/// Requests do not count if they entered the mesh at a node that had an outage since the server
/// first stated the limit.
fn check_limit(period: &StatedPeriod, history: &SoakHistory) -> Option<String> {
    let entries: BTreeMap<_, _> = history
        .calls
        .iter()
        .map(|call| (call.target.as_str(), call.node))
        .collect();
    let is_excused = |run: &JournalEntry| {
        let entry = entries.get(run.target.as_str());
        let mut outages = history.outages.iter();
        outages.any(|outage| {
            Some(&outage.node) == entry && outage.from <= run.at && period.from <= outage.until
        })
    };
    let bound_from = period.from.after(LIMIT_DELAY);
    let counted = history.runs.iter().filter(|run| {
        run.backend == period.server && run.at >= bound_from && run.at <= period.until
    });
    let mut times: Vec<_> = counted
        .filter(|run| !is_excused(run))
        .map(|run| run.at)
        .collect();
    times.sort_unstable();
    let allowed =
        LIMIT_FACTOR * period.limit.per_second() * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    let count_from = |start: &ClockInstant| {
        let end = start.after(LIMIT_WINDOW);
        times
            .iter()
            .filter(|time| (*start..end).contains(time))
            .count()
    };
    let most = times.iter().map(count_from).max().unwrap_or(0);
    (most as f64 > allowed).then(|| {
        let StatedPeriod { server, limit, .. } = period;
        format!("{server} stated {limit} requests a second and ran {most} in {LIMIT_WINDOW}")
    })
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
