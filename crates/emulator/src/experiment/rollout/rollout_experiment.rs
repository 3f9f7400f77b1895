use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::experiment::{
    ExperimentContext, ExperimentEntry, ExperimentReport,
    rollout::{
        FaultKind, PolicyKind, TrialPlan, TrialWorkload,
        trial_plan::{empty_report, run_plan},
    },
};

inventory::submit! {
    ExperimentEntry {
        name: "rollout",
        about: "Version moves with each fault kind at Hemelval's rates, by the kernel policy",
        run: run_hemelval,
    }
}

inventory::submit! {
    ExperimentEntry {
        name: "rollout-fraser",
        about: "Version moves with each fault kind at Fraser Basin's rates, by the kernel policy",
        run: run_fraser,
    }
}

inventory::submit! {
    ExperimentEntry {
        name: "rollout-policies",
        about: "Version moves with each fault kind, by four policies",
        run: run_policies,
    }
}

inventory::submit! {
    ExperimentEntry {
        name: "rollout-milder",
        about: "Share of versions rolled back, by the severity of their fault",
        run: run_severities,
    }
}

inventory::submit! {
    ExperimentEntry {
        name: "rollout-sparse",
        about: "Share of good versions moved on time, by the request rate",
        run: run_sparse_traffic,
    }
}

inventory::submit! {
    ExperimentEntry {
        name: "rollout-total",
        about: "Requests failed by a version that fails every request",
        run: run_total_failures,
    }
}

const DEFAULT_MOVES: u64 = 100;
const DEFAULT_THREADS: u64 = 2;
const FAILURE_SHARE: f64 = 0.1;
const SLOWDOWN_FACTOR: f64 = 2.0;

fn run_hemelval(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    Ok(run_kinds(
        "rollout",
        &TrialWorkload::hemelval(),
        &[PolicyKind::MergedSequential],
        context,
    ))
}

fn run_fraser(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    Ok(run_kinds(
        "rollout-fraser",
        &TrialWorkload::fraser(),
        &[PolicyKind::MergedSequential],
        context,
    ))
}

fn run_policies(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    Ok(run_kinds(
        "rollout-policies",
        &TrialWorkload::hemelval(),
        &PolicyKind::ALL,
        context,
    ))
}

fn run_kinds(
    name: &str,
    workload: &TrialWorkload,
    policies: &[PolicyKind],
    context: &ExperimentContext,
) -> ExperimentReport {
    let mut report = empty_report(name, context.seed()).with_size("moves", moves(context));
    for fault in FaultKind::ALL {
        let severity = if fault.is_slowdown() {
            SLOWDOWN_FACTOR
        } else {
            FAILURE_SHARE
        };
        for policy in policies {
            run_plan(
                &mut report,
                &plan(workload, fault, *policy, severity, context),
            );
        }
    }
    report
}

fn run_severities(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let mut report =
        empty_report("rollout-milder", context.seed()).with_size("moves", moves(context));
    let workload = TrialWorkload::hemelval();
    let policy = PolicyKind::MergedSequential;
    for share in [0.02, 0.03, 0.04, 0.05, 0.07, 0.1, 0.2] {
        for fault in [FaultKind::FailsAtOnce, FaultKind::FailsOnOneRoute] {
            run_plan(&mut report, &plan(&workload, fault, policy, share, context));
        }
    }
    for factor in [1.1, 1.2, 1.3, 1.4, 1.5, 1.7, 2.0] {
        for fault in [FaultKind::SlowsAtOnce, FaultKind::SlowsOnOneRoute] {
            run_plan(
                &mut report,
                &plan(&workload, fault, policy, factor, context),
            );
        }
    }
    Ok(report)
}

fn run_sparse_traffic(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let mut report =
        empty_report("rollout-sparse", context.seed()).with_size("moves", moves(context));
    // Name, requests per hour, and seconds until the deadline.
    let cases = [
        ("21600/h by 10m", 21_600.0, 600),
        ("3600/h by 10m", 3_600.0, 600),
        ("3600/h by 30m", 3_600.0, 1_800),
        ("600/h by 30m", 600.0, 1_800),
        ("600/h by 2h", 600.0, 7_200),
        ("60/h by 2h", 60.0, 7_200),
        ("60/h by 12h", 60.0, 43_200),
        ("60/h by 24h", 60.0, 86_400),
    ];
    let policy = PolicyKind::MergedSequential;
    for (name, per_hour, secs) in cases {
        let workload =
            TrialWorkload::with_rate(name, per_hour / 3_600.0, TimeBudget::from_secs(secs));
        let without_fault = plan(&workload, FaultKind::Good, policy, FAILURE_SHARE, context);
        run_plan(&mut report, &without_fault);
        let with_fault = plan(
            &workload,
            FaultKind::FailsAtOnce,
            policy,
            FAILURE_SHARE,
            context,
        );
        run_plan(&mut report, &with_fault);
    }
    Ok(report)
}

fn run_total_failures(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let mut report =
        empty_report("rollout-total", context.seed()).with_size("moves", moves(context));
    for workload in [TrialWorkload::hemelval(), TrialWorkload::fraser()] {
        for policy in PolicyKind::ALL {
            for fault in [FaultKind::FailsAtOnce, FaultKind::FailsLater] {
                run_plan(&mut report, &plan(&workload, fault, policy, 1.0, context));
            }
        }
    }
    Ok(report)
}

fn moves(context: &ExperimentContext) -> u64 {
    context.size("moves", DEFAULT_MOVES)
}

fn plan(
    workload: &TrialWorkload,
    fault: FaultKind,
    policy: PolicyKind,
    severity: f64,
    context: &ExperimentContext,
) -> TrialPlan {
    let mut workload = workload.clone();
    let min_requests = u64::from(workload.rule.min_requests);
    let min_requests = context.size("min-requests", min_requests);
    workload.rule.min_requests = u32::try_from(min_requests).unwrap_or(u32::MAX);
    TrialPlan {
        workload,
        fault,
        policy,
        severity,
        moves: moves(context),
        seed: context.seed(),
        threads: context.size("threads", DEFAULT_THREADS),
    }
}
