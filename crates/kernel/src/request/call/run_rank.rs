use serde::{Deserialize, Serialize};

use crate::{config::RequestPriority, request::AccountRank};

/// Rank of a run, which its calls share although they present no key.
///
/// The priority of the route is not part of it: operators state one for the called route too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRank {
    /// Client account of the request that the run serves, if it has one.
    pub account: Option<AccountRank>,
}

impl RunRank {
    /// Returns the priority of the account, by which ranks are compared; the lower one is more
    /// urgent.
    pub(crate) fn priority(&self) -> Option<RequestPriority> {
        self.account.as_ref().map(|rank| rank.priority)
    }
}
