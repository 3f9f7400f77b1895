use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::experiment::{
    Experiment, ExperimentContext, ExperimentReport,
    rollout::{
        FaultKind, PolicyKind, TrialPlan, Workload,
        trial_report::{add_plan, empty_report},
    },
};

inventory::submit! {
    Experiment {
        name: "rollout",
        about: "Version moves of every kind at Hemelval's rates, by the kernel's way",
        run: run_hemelval,
    }
}

inventory::submit! {
    Experiment {
        name: "rollout-fraser",
        about: "Version moves of every kind at Fraser Basin's rates, by the kernel's way",
        run: run_fraser,
    }
}

inventory::submit! {
    Experiment {
        name: "rollout-policies",
        about: "Version moves of every kind by four ways to decide",
        run: run_policies,
    }
}

inventory::submit! {
    Experiment {
        name: "rollout-milder",
        about: "Share of versions taken back by the size of their fault",
        run: run_milder,
    }
}

inventory::submit! {
    Experiment {
        name: "rollout-sparse",
        about: "Share of good versions moved on time by the rate of requests",
        run: run_sparse,
    }
}

inventory::submit! {
    Experiment {
        name: "rollout-total",
        about: "Requests harmed by a version that fails every request at once",
        run: run_total,
    }
}

const MOVES: u64 = 100;
const THREADS: u64 = 2;
const BAD_SHARE: f64 = 0.1;
const BAD_FACTOR: f64 = 2.0;

fn run_hemelval(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    Ok(run_kinds(
        "rollout",
        &Workload::hemelval(),
        &[PolicyKind::MergedSequential],
        context,
    ))
}

fn run_fraser(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    Ok(run_kinds(
        "rollout-fraser",
        &Workload::fraser(),
        &[PolicyKind::MergedSequential],
        context,
    ))
}

fn run_policies(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    Ok(run_kinds(
        "rollout-policies",
        &Workload::hemelval(),
        &PolicyKind::ALL,
        context,
    ))
}

fn run_kinds(
    name: &str,
    workload: &Workload,
    policies: &[PolicyKind],
    context: &ExperimentContext,
) -> ExperimentReport {
    let mut report = empty_report(name, context.seed()).size("moves", moves(context));
    for fault in FaultKind::ALL {
        let size = if fault.is_slow() {
            BAD_FACTOR
        } else {
            BAD_SHARE
        };
        for policy in policies {
            add_plan(&mut report, &plan(workload, fault, *policy, size, context));
        }
    }
    report
}

fn run_milder(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let mut report = empty_report("rollout-milder", context.seed()).size("moves", moves(context));
    let workload = Workload::hemelval();
    let policy = PolicyKind::MergedSequential;
    for share in [0.02, 0.03, 0.04, 0.05, 0.07, 0.1, 0.2] {
        for fault in [FaultKind::FailsAtOnce, FaultKind::FailsOnOneRoute] {
            add_plan(&mut report, &plan(&workload, fault, policy, share, context));
        }
    }
    for factor in [1.1, 1.2, 1.3, 1.4, 1.5, 1.7, 2.0] {
        for fault in [FaultKind::SlowsAtOnce, FaultKind::SlowsOnOneRoute] {
            add_plan(
                &mut report,
                &plan(&workload, fault, policy, factor, context),
            );
        }
    }
    Ok(report)
}

fn run_sparse(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let mut report = empty_report("rollout-sparse", context.seed()).size("moves", moves(context));
    // Requests an hour, and the time that is asked for.
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
        let workload = Workload::of(name, per_hour / 3_600.0, TimeBudget::from_secs(secs));
        let good = plan(&workload, FaultKind::Good, policy, BAD_SHARE, context);
        add_plan(&mut report, &good);
        let bad = plan(
            &workload,
            FaultKind::FailsAtOnce,
            policy,
            BAD_SHARE,
            context,
        );
        add_plan(&mut report, &bad);
    }
    Ok(report)
}

fn run_total(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let mut report = empty_report("rollout-total", context.seed()).size("moves", moves(context));
    for workload in [Workload::hemelval(), Workload::fraser()] {
        for policy in PolicyKind::ALL {
            for fault in [FaultKind::FailsAtOnce, FaultKind::FailsLater] {
                add_plan(&mut report, &plan(&workload, fault, policy, 1.0, context));
            }
        }
    }
    Ok(report)
}

fn moves(context: &ExperimentContext) -> u64 {
    context.size("moves", MOVES)
}

fn plan(
    workload: &Workload,
    fault: FaultKind,
    policy: PolicyKind,
    size: f64,
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
        size,
        moves: moves(context),
        seed: context.seed(),
        threads: context.size("threads", THREADS),
    }
}
