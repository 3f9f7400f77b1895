use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use bronzelb_kernel::clock::TimeBudget;

use crate::experiment::{
    ExperimentReport, ReportCell,
    rollout::{FaultKind, MoveTrial, PolicyKind, TrialResult, Workload, fault_kind::WantedEnd},
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

/// Trials of one kind, one way to decide, and one size.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// Traffic, nodes and the move that is asked for.
    pub workload: Workload,
    /// What goes wrong.
    pub fault: FaultKind,
    /// Way in which the moves are decided.
    pub policy: PolicyKind,
    /// Share of requests that fail, or factor by which they are slower.
    pub size: f64,
    /// Number of moves.
    pub moves: u64,
    /// First seed; each move has the next one.
    pub seed: u64,
    /// Threads to run on.
    pub threads: u64,
}

/// Builds an empty report of trials.
pub(crate) fn empty_report(name: &str, seed: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new(name, seed, COLUMNS);
    report.remark(
        "size: share of requests that fail, or factor by which they are slower; fault_s: from \
         the fault's first request to the last request sent to the new version, of moves that \
         were taken back; -1: no such move",
    );
    report
}

/// Runs a plan and adds its row.
pub(crate) fn add_plan(report: &mut ExperimentReport, plan: &TrialPlan) {
    let results = run_moves(plan);
    let share = |is: &dyn Fn(&TrialResult) -> bool| {
        let hits = results.iter().filter(|result| is(result)).count();
        100.0 * hits as f64 / results.len() as f64
    };
    let on_time = share(&|result| result.is_on_time);
    let taken_back = share(&|result| result.taken_back_after.is_some());
    let as_wanted = match plan.fault.wanted_end() {
        WantedEnd::DoneInTime => on_time,
        WantedEnd::TakenBack => taken_back,
        WantedEnd::NotTakenBack => 100.0 - taken_back,
    };
    let harmed: Vec<f64> = results.iter().map(|result| result.harmed as f64).collect();
    let fault_time = collect(&results, |result| {
        let time = result.fault_time?;
        result.taken_back_after.map(|_| time.as_secs_f64())
    });
    let done = collect(&results, |result| {
        result.done_after.map(TimeBudget::as_secs_f64)
    });
    report.row([
        plan.workload.name.into(),
        plan.fault.name().into(),
        plan.policy.name().into(),
        plan.size.into(),
        on_time.into(),
        taken_back.into(),
        as_wanted.into(),
        quantile(&harmed, 0.5),
        quantile(&harmed, 0.95),
        quantile(&fault_time, 0.5),
        quantile(&fault_time, 0.95),
        quantile(&done, 0.5),
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
            results.push((index, trial_of(plan, index).run()));
        }
    };
    let mut results: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.threads.max(1)).map(|_| scope.spawn(run)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a trial does not panic"))
            .collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn trial_of(plan: &TrialPlan, index: u64) -> MoveTrial {
    MoveTrial {
        workload: plan.workload.clone(),
        fault: plan.fault,
        size: plan.size,
        policy: plan.policy,
        seed: plan.seed + index,
    }
}

fn collect(results: &[TrialResult], pick: impl Fn(&TrialResult) -> Option<f64>) -> Vec<f64> {
    results.iter().filter_map(pick).collect()
}

fn quantile(values: &[f64], part: f64) -> ReportCell {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * part) as usize;
    let value = sorted.get(index.min(sorted.len().saturating_sub(1)));
    value.copied().unwrap_or(-1.0).into()
}
