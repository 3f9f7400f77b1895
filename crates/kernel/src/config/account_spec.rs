use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    config::RequestPriority,
    ids::{KeyDigest, RequestRate},
};

/// Client account: the keys of its callers, its priority and its usage cap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Digests of the account's API keys; empty once the last key has been withdrawn.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of the account's requests, compared before the priority of their route.
    pub priority: RequestPriority,
    /// Usage cap; `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<UsageCap>,
}

/// Limit on the requests of a client account that run, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageCap {
    /// Sustained rate; never zero.
    pub rate: RequestRate,
    /// Requests beyond the sustained rate that may run at once.
    pub burst: u64,
}
