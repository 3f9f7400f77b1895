use std::sync::Arc;

use bronzelb_kernel::ids::AccountName;

use crate::node::NodeState;

/// Token of an account for one request; given back when dropped.
pub(crate) struct UsagePermit {
    state: Arc<NodeState>,
    account: AccountName,
    is_used: bool,
}

impl UsagePermit {
    pub(crate) const fn new(state: Arc<NodeState>, account: AccountName) -> Self {
        Self {
            state,
            account,
            is_used: false,
        }
    }

    /// Marks the token as used, since from now on the request may run. It then stays used, also if
    /// the request is cancelled.
    pub(crate) const fn begin_run(mut self) -> Self {
        self.is_used = true;
        self
    }

    /// Gives the token back, as the request did not run.
    pub(crate) fn give_back(mut self) {
        self.is_used = false;
    }
}

impl Drop for UsagePermit {
    fn drop(&mut self) {
        if !self.is_used {
            self.state.usage.give_back(&self.state, &self.account);
        }
    }
}
