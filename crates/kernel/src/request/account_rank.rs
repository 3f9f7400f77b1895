use serde::{Deserialize, Serialize};

use crate::{config::RequestPriority, ids::AccountName};

/// Client account that a request belongs to, with the account's priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRank {
    /// Name of the account.
    pub account: AccountName,
    /// Priority of the account, compared before the priority of the route.
    pub priority: RequestPriority,
}
