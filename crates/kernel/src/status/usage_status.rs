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
