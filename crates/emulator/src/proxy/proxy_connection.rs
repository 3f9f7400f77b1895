use std::{net::IpAddr, sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::proxy::{
    ProxyAction, ProxyRules,
    proxy_state::{ListenerState, StateHandle},
};

/// Direction of traffic through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficDirection {
    Request,
    Response,
}

/// A proxied connection and the rules that apply to it.
#[derive(Clone, Debug)]
pub(crate) struct ProxyConnection {
    pub(crate) state: StateHandle,
    pub(crate) listener: Arc<ListenerState>,
    pub(crate) source: IpAddr,
    rules: watch::Receiver<ProxyRules>,
}

impl ProxyConnection {
    pub(crate) fn new(state: StateHandle, listener: Arc<ListenerState>, source: IpAddr) -> Self {
        Self {
            rules: state.watch_rules(),
            state,
            listener,
            source,
        }
    }

    /// Waits until a rule cuts the connection.
    pub(crate) async fn wait_cut(mut self) {
        while !self.any_rule(|action| action == ProxyAction::Cut) {
            self.wait_rules_changed().await;
        }
    }

    /// Waits until no rule stalls `direction`.
    pub(crate) async fn wait_unstalled(&mut self, direction: TrafficDirection) {
        let is_stalled = |action| match action {
            ProxyAction::Stall => true,
            ProxyAction::StallAnswers => direction == TrafficDirection::Response,
            _ => false,
        };
        while self.any_rule(is_stalled) {
            self.wait_rules_changed().await;
        }
    }

    /// Returns the delay of each chunk: the sum over all matching rules.
    pub(crate) fn delay(&self) -> Duration {
        let millis = self.sum_matching(|action| match action {
            ProxyAction::Delay(millis) => Some(millis),
            _ => None,
        });
        Duration::from_millis(millis.unwrap_or(0))
    }

    /// Returns the bandwidth limit in bytes per second: the sum over all matching rules.
    pub(crate) fn bandwidth_limit(&self) -> Option<u64> {
        self.sum_matching(|action| match action {
            ProxyAction::Throttle(bytes) => Some(bytes),
            _ => None,
        })
    }

    /// Returns the number of bytes after which the next response is truncated.
    pub(crate) fn truncation_limit(&self) -> Option<u64> {
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

    /// Consumes one use of a rule with `action` that matches this connection; returns whether there
    /// is one.
    pub(crate) fn consume_rule(&self, action: ProxyAction) -> bool {
        self.state
            .consume_rule(self.source, &self.listener.name, action)
    }

    fn any_rule(&mut self, is_wanted: impl Fn(ProxyAction) -> bool) -> bool {
        let source = self.source;
        let name = &self.listener.name;
        let rules = self.rules.borrow_and_update();
        rules
            .rules
            .iter()
            .any(|rule| is_wanted(rule.action) && rule.matches(source, name))
    }

    fn sum_matching(&self, amount: impl Fn(ProxyAction) -> Option<u64>) -> Option<u64> {
        let rules = self.rules.borrow();
        rules
            .rules
            .iter()
            .filter(|rule| rule.matches(self.source, &self.listener.name))
            .filter_map(|rule| amount(rule.action))
            .reduce(u64::saturating_add)
    }

    async fn wait_rules_changed(&mut self) {
        if self.rules.changed().await.is_err() {
            // The sender is dropped only with the proxy state; no further change can follow.
            std::future::pending::<()>().await;
        }
    }
}
