use serde::{Deserialize, Serialize};

use crate::{
    config::{AccountSpec, RequestPriority, UsageCap},
    ids::AccountName,
};

/// A client account of the active version, without its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Name of the account.
    pub account: AccountName,
    /// Priority of the account's requests.
    pub priority: RequestPriority,
    /// Number of keys; zero once the last one has been revoked.
    pub keys: usize,
    /// Usage cap; `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<UsageCap>,
}

impl AccountStatus {
    /// Builds the status of the account `account`.
    #[must_use]
    pub fn new(account: &AccountName, spec: &AccountSpec) -> Self {
        Self {
            account: account.clone(),
            priority: spec.priority,
            keys: spec.keys.len(),
            cap: spec.cap,
        }
    }
}
