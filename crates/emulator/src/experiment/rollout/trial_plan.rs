use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use bronzelb_kernel::clock::TimeBudget;

use crate::experiment::{
    ExperimentReport, ReportCell,
    rollout::{
        FaultKind, MoveTrial, PolicyKind, TrialResult, TrialWorkload, fault_kind::ExpectedOutcome,
    },
};

const COLUMNS: [&str; 12] = [
    "workload",
    "kind",
    "policy",
    "size",
    "on_time_%",
    "taken_back_%",
    "as_wanted_%",
    "harmed_p50",
    "harmed_p95",
    "fault_s_p50",
    "fault_s_p95",
    "done_s_p50",
];

/// Trials of one workload, fault, policy and severity.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// Traffic, nodes and the requested move.
    pub workload: TrialWorkload,
    /// Injected fault.
    pub fault: FaultKind,
    /// Rollout policy.
    pub policy: PolicyKind,
    /// Share of requests that fail, or factor by which requests are slower.
    pub severity: f64,
    /// Number of moves.
    pub moves: u64,
    /// Seed of the first move. Each further move uses the next one.
    pub seed: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Creates a report without rows.
pub(crate) fn empty_report(name: &str, seed: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new(name, seed, COLUMNS);
    report.add_remark(
        "size: share of requests that fail, or factor by which they are slower; fault_s: time from \
         the first request with the fault to the last request sent to the new version, of moves \
         that were rolled back (taken_back_%); -1: no such move",
    );
    report
}

/// Runs the trials of a plan and adds their row to the report.
pub(crate) fn run_plan(report: &mut ExperimentReport, plan: &TrialPlan) {
    let results = run_moves(plan);
    let share = |condition: &dyn Fn(&TrialResult) -> bool| {
        let count = results.iter().filter(|result| condition(result)).count();
        100.0 * count as f64 / results.len() as f64
    };
    let on_time = share(&|result| result.is_on_time);
    let rolled_back = share(&|result| result.rolled_back_after.is_some());
    let as_expected = match plan.fault.expected_outcome() {
        ExpectedOutcome::DoneOnTime => on_time,
        ExpectedOutcome::RolledBack => rolled_back,
        ExpectedOutcome::NotRolledBack => 100.0 - rolled_back,
    };
    let affected_requests: Vec<f64> = results
        .iter()
        .map(|result| result.affected_requests as f64)
        .collect();
    let fault_durations = collect(&results, |result| {
        let time = result.fault_duration?;
        result.rolled_back_after.map(|_| time.as_secs_f64())
    });
    let done_times = collect(&results, |result| {
        result.done_after.map(TimeBudget::as_secs_f64)
    });
    report.add_row([
        plan.workload.name.into(),
        plan.fault.name().into(),
        plan.policy.name().into(),
        plan.severity.into(),
        on_time.into(),
        rolled_back.into(),
        as_expected.into(),
        quantile(&affected_requests, 0.5),
        quantile(&affected_requests, 0.95),
        quantile(&fault_durations, 0.5),
        quantile(&fault_durations, 0.95),
        quantile(&done_times, 0.5),
    ]);
}

fn run_moves(plan: &TrialPlan) -> Vec<TrialResult> {
    let next = AtomicU64::new(0);
    let run = || {
        let mut results = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= plan.moves {
                return results;
            }
            results.push((index, trial_at(plan, index).run()));
        }
    };
    let mut results: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.threads.max(1)).map(|_| scope.spawn(run)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("trial thread panicked"))
            .collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn trial_at(plan: &TrialPlan, index: u64) -> MoveTrial {
    MoveTrial {
        workload: plan.workload.clone(),
        fault: plan.fault,
        severity: plan.severity,
        policy: plan.policy,
        seed: plan.seed + index,
    }
}

fn collect(results: &[TrialResult], value: impl Fn(&TrialResult) -> Option<f64>) -> Vec<f64> {
    results.iter().filter_map(value).collect()
}

fn quantile(values: &[f64], share: f64) -> ReportCell {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * share) as usize;
    let value = sorted.get(index.min(sorted.len().saturating_sub(1)));
    value.copied().unwrap_or(-1.0).into()
}
