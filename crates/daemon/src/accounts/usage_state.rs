use std::sync::{Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{
    account::{UsageBound, UsageNode},
    ids::{AccountName, IncarnationNumber, NodeName},
};
use tokio::sync::{Notify, futures::Notified};

use crate::node::NodeState;

/// Usage caps at this node, shared by all threads.
#[derive(Debug)]
pub struct UsageState {
    node: Mutex<UsageNode>,
    replies: Notify,
}

impl UsageState {
    pub(crate) fn new(node: NodeName, incarnation: IncarnationNumber, bound: UsageBound) -> Self {
        Self {
            node: Mutex::new(UsageNode::new(node, incarnation, bound)),
            replies: Notify::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, UsageNode> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Completes after the next reply of an owner.
    pub(crate) fn next_reply(&self) -> Notified<'_> {
        self.replies.notified()
    }

    /// Wakes the requests that wait for a reply.
    pub(crate) fn announce_reply(&self) {
        self.replies.notify_waiters();
    }

    /// Adopts the configuration in force and the members.
    pub(crate) fn sync(&self, state: &NodeState) {
        let Some(config) = state.config() else {
            return;
        };
        let caps = || {
            let accounts = config.snapshot().accounts.iter();
            accounts.filter_map(|(account, spec)| spec.cap.map(|cap| (account, cap)))
        };
        let version = config.stamp().number;
        // Without caps, nothing is to be kept up to date once the last one has been removed.
        if caps().next().is_none() && !self.lock().has_caps() {
            return;
        }
        let (now, incarnation) = (state.now(), state.incarnation());
        let members = state.members();
        self.lock()
            .sync(now, incarnation, version, &members, caps());
    }

    /// Returns whether the caps of the configuration in force have been adopted.
    pub(crate) fn is_synced(&self, state: &NodeState) -> bool {
        let version = state.config().map(|config| config.stamp().number);
        version.is_none_or(|version| self.lock().version() == version)
    }

    /// Gives back the token of a request that did not run.
    pub(crate) fn give_back(&self, state: &NodeState, account: &AccountName) {
        self.lock().give_back(state.now(), account);
    }
}
