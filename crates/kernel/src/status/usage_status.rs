use serde::{Deserialize, Serialize};

/// Use of a capped client account, as one node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatus {
    /// Requests of all nodes in the last 5 s, at the node that grants the account's tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub used: Option<u32>,
    /// Requests that this node admitted in the last 5 s.
    pub admitted: u32,
    /// Requests that this node has refused since it started.
    pub refused: u64,
}

impl UsageStatus {
    /// Returns the use at two nodes together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            // More than one node counts the account only for moments or in a partition.
            used: self.used.max(other.used),
            admitted: self.admitted + other.admitted,
            refused: self.refused + other.refused,
        }
    }
}
