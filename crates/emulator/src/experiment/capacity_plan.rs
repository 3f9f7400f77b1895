use crate::experiment::SizeSetting;

/// One run of an experiment for the capacity page.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRun {
    /// Name of the run's files.
    pub file: &'static str,
    /// Name of the experiment.
    pub experiment: &'static str,
    sizes: &'static [(&'static str, u64)],
}

impl PlannedRun {
    /// Returns the sizes in place of the experiment's own.
    pub fn sizes(&self) -> impl Iterator<Item = SizeSetting> {
        self.sizes.iter().map(|(name, value)| SizeSetting {
            name: (*name).to_owned(),
            value: *value,
        })
    }
}

/// Every run whose figures docs/CAPACITY.md is made of, shortest first.
///
/// The largest run takes 192 daemons, and none takes more than a few hundred processes.
pub const CAPACITY_PLAN: [PlannedRun; 8] = [
    run("node-size", "node-size", &[]),
    run("rollout-sizes", "rollout-sizes", &[]),
    run("request-cost", "request-cost", &[]),
    run("request-latency", "request-latency", &[]),
    run(
        "spread-12",
        "spread",
        &[("nodes", 12), ("changes", 10), ("idle_seconds", 10)],
    ),
    run(
        "spread-48",
        "spread",
        &[("nodes", 48), ("changes", 6), ("idle_seconds", 8)],
    ),
    run(
        "spread-96",
        "spread",
        &[
            ("nodes", 96),
            ("changes", 6),
            ("idle_seconds", 8),
            ("ways", 1),
        ],
    ),
    run(
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

const fn run(
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
