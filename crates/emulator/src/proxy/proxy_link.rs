use std::{net::IpAddr, sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::proxy::{
    ProxyAction, ProxyRules,
    proxy_state::{ListenerState, StateHandle},
};

/// Direction of bytes through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkDirection {
    Request,
    Answer,
}

/// One connection through the proxy, as the rules see it.
#[derive(Clone, Debug)]
pub(crate) struct ProxyLink {
    pub(crate) state: StateHandle,
    pub(crate) listener: Arc<ListenerState>,
    pub(crate) source: IpAddr,
    rules: watch::Receiver<ProxyRules>,
}

impl ProxyLink {
    pub(crate) fn new(state: StateHandle, listener: Arc<ListenerState>, source: IpAddr) -> Self {
        Self {
            rules: state.watch_rules(),
            state,
            listener,
            source,
        }
    }

    /// Waits until a rule cuts the link.
    pub(crate) async fn until_cut(mut self) {
        while !self.has(|action| action == ProxyAction::Cut) {
            self.changed().await;
        }
    }

    /// Waits until no rule stalls the direction.
    pub(crate) async fn until_flowing(&mut self, direction: LinkDirection) {
        let is_stalled = |action| match action {
            ProxyAction::Stall => true,
            ProxyAction::StallAnswers => direction == LinkDirection::Answer,
            _ => false,
        };
        while self.has(is_stalled) {
            self.changed().await;
        }
    }

    /// Returns the time by which each chunk is delayed.
    pub(crate) fn delay(&self) -> Duration {
        let millis = self.sum(|action| match action {
            ProxyAction::Delay(millis) => Some(millis),
            _ => None,
        });
        Duration::from_millis(millis.unwrap_or(0))
    }

    /// Returns the bytes a second that pass.
    pub(crate) fn throttle(&self) -> Option<u64> {
        self.sum(|action| match action {
            ProxyAction::Throttle(bytes) => Some(bytes),
            _ => None,
        })
    }

    /// Returns the bytes after which the next answer is cut off.
    pub(crate) fn truncation(&self) -> Option<u64> {
        let rules = self.rules.borrow();
        let mut matching = rules
            .rules
            .iter()
            .filter(|rule| rule.matches(self.source, &self.listener.name));
        matching.find_map(|rule| match rule.action {
            ProxyAction::Truncate(bytes) => Some(bytes),
            _ => None,
        })
    }

    /// Uses up one of the times that a rule with `action` acts on this link.
    pub(crate) fn take(&self, action: ProxyAction) -> bool {
        self.state
            .take_action(self.source, &self.listener.name, action)
    }

    fn has(&mut self, is_sought: impl Fn(ProxyAction) -> bool) -> bool {
        let source = self.source;
        let name = &self.listener.name;
        let rules = self.rules.borrow_and_update();
        rules
            .rules
            .iter()
            .any(|rule| is_sought(rule.action) && rule.matches(source, name))
    }

    fn sum(&self, amount: impl Fn(ProxyAction) -> Option<u64>) -> Option<u64> {
        let rules = self.rules.borrow();
        rules
            .rules
            .iter()
            .filter(|rule| rule.matches(self.source, &self.listener.name))
            .filter_map(|rule| amount(rule.action))
            .reduce(u64::saturating_add)
    }

    async fn changed(&mut self) {
        if self.rules.changed().await.is_err() {
            // The state outlives every link; without it nothing changes any more.
            std::future::pending::<()>().await;
        }
    }
}
