use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::watch;

use crate::proxy::{ProxyAction, ProxyCounters, ProxyRules, proxy_counters::SharedCounters};

/// A listener's target and counters.
#[derive(Debug)]
pub(crate) struct ListenerState {
    pub(crate) name: String,
    target: Mutex<Option<SocketAddr>>,
    pub(crate) counters: SharedCounters,
}

/// Everything that the proxy keeps.
#[derive(Debug)]
pub(crate) struct ProxyState {
    listeners: Mutex<BTreeMap<String, Arc<ListenerState>>>,
    rules: watch::Sender<ProxyRules>,
}

/// Shared handle of the [`ProxyState`].
pub(crate) type StateHandle = Arc<ProxyState>;

impl ListenerState {
    pub(crate) fn new(name: String, target: Option<SocketAddr>) -> Self {
        Self {
            name,
            target: Mutex::new(target),
            counters: SharedCounters::default(),
        }
    }

    pub(crate) fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

impl ProxyState {
    pub(crate) fn new() -> StateHandle {
        Arc::new(Self {
            listeners: Mutex::new(BTreeMap::new()),
            rules: watch::Sender::new(ProxyRules::default()),
        })
    }

    pub(crate) fn listeners(&self) -> MutexGuard<'_, BTreeMap<String, Arc<ListenerState>>> {
        self.listeners
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_rules(&self, rules: ProxyRules) {
        self.rules.send_replace(rules);
    }

    pub(crate) fn rules(&self) -> ProxyRules {
        self.rules.borrow().clone()
    }

    pub(crate) fn watch_rules(&self) -> watch::Receiver<ProxyRules> {
        self.rules.subscribe()
    }

    /// Uses up one of the times that a matching rule with `action` acts, if one does.
    pub(crate) fn take_action(&self, source: IpAddr, listener: &str, action: ProxyAction) -> bool {
        let mut is_taken = false;
        self.rules.send_if_modified(|rules| {
            let rule = rules
                .rules
                .iter_mut()
                .find(|rule| rule.action == action && rule.matches(source, listener));
            let Some(rule) = rule else {
                return false;
            };
            is_taken = true;
            let Some(next) = &mut rule.next else {
                return false;
            };
            *next -= 1;
            true
        });
        is_taken
    }

    pub(crate) fn counters(&self) -> ProxyCounters {
        let listeners = self
            .listeners()
            .iter()
            .map(|(name, listener)| (name.clone(), listener.counters.read()))
            .collect();
        ProxyCounters { listeners }
    }
}
