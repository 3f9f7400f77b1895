use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;

/// Rollout policy that a trial uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The share follows a fixed schedule, and no move is rolled back.
    FixedSchedule,
    /// Each node evaluates only its own evidence, and marks propagate to all nodes.
    PerNode,
    /// The nodes' counts over the last ten seconds are merged and compared with fixed limits.
    MergedWindow,
    /// The nodes' counts are merged and compared by the sequential test, as the kernel does.
    MergedSequential,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::FixedSchedule,
        Self::PerNode,
        Self::MergedWindow,
        Self::MergedSequential,
    ];

    /// Returns the name in the report and on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::FixedSchedule => "fixed-schedule",
            Self::PerNode => "per-node",
            Self::MergedWindow => "merged-window",
            Self::MergedSequential => "merged-sequential",
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for PolicyKind {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| MeshError::invalid(format!("policy {text:?} does not exist")))
    }
}
