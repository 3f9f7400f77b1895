use crate::experiment::SizeSetting;

/// Experiment run whose figures docs/CAPACITY.md reports.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRun {
    /// Base name of the run's output files.
    pub file: &'static str,
    /// Name of the experiment.
    pub experiment: &'static str,
    sizes: &'static [(&'static str, u64)],
}

impl PlannedRun {
    /// Returns the sizes that override the experiment's defaults.
    pub fn sizes(&self) -> impl Iterator<Item = SizeSetting> {
        self.sizes.iter().map(|(name, value)| SizeSetting {
            name: (*name).to_owned(),
            value: *value,
        })
    }
}

/// Runs whose figures docs/CAPACITY.md reports, shortest first.
///
/// The largest run starts 192 daemons, and no run starts more than a few hundred processes.
pub const CAPACITY_PLAN: [PlannedRun; 8] = [
    planned_run("node-size", "node-size", &[]),
    planned_run("rollout-sizes", "rollout-sizes", &[]),
    planned_run("request-cost", "request-cost", &[]),
    planned_run("request-latency", "request-latency", &[]),
    planned_run(
        "spread-12",
        "spread",
        &[("nodes", 12), ("changes", 10), ("idle_seconds", 10)],
    ),
    planned_run(
        "spread-48",
        "spread",
        &[("nodes", 48), ("changes", 6), ("idle_seconds", 8)],
    ),
    planned_run(
        "spread-96",
        "spread",
        &[
            ("nodes", 96),
            ("changes", 6),
            ("idle_seconds", 8),
            ("ways", 1),
        ],
    ),
    planned_run(
        "spread-192",
        "spread",
        &[
            ("nodes", 192),
            ("changes", 4),
            ("idle_seconds", 8),
            ("ways", 1),
        ],
    ),
];

const fn planned_run(
    file: &'static str,
    experiment: &'static str,
    sizes: &'static [(&'static str, u64)],
) -> PlannedRun {
    PlannedRun {
        file,
        experiment,
        sizes,
    }
}
