use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::watch;

use crate::proxy::{ProxyAction, ProxyCounters, ProxyRules, proxy_counters::AtomicCounters};

/// Name, target and counters of a listener.
#[derive(Debug)]
pub(crate) struct ListenerState {
    pub(crate) name: String,
    target: Mutex<Option<SocketAddr>>,
    pub(crate) counters: AtomicCounters,
}

/// State of the proxy: its listeners and rules.
#[derive(Debug)]
pub(crate) struct ProxyState {
    listeners: Mutex<BTreeMap<String, Arc<ListenerState>>>,
    rules: watch::Sender<ProxyRules>,
}

/// Shared handle of a [`ProxyState`].
pub(crate) type StateHandle = Arc<ProxyState>;

impl ListenerState {
    pub(crate) fn new(name: String, target: Option<SocketAddr>) -> Self {
        Self {
            name,
            target: Mutex::new(target),
            counters: AtomicCounters::default(),
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

    /// Consumes one use of the first matching rule with `action`; returns whether there is one.
    pub(crate) fn consume_rule(&self, source: IpAddr, listener: &str, action: ProxyAction) -> bool {
        let mut is_found = false;
        self.rules.send_if_modified(|rules| {
            let rule = rules
                .rules
                .iter_mut()
                .find(|rule| rule.action == action && rule.matches(source, listener));
            let Some(rule) = rule else {
                return false;
            };
            is_found = true;
            let Some(next) = &mut rule.next else {
                return false;
            };
            *next -= 1;
            true
        });
        is_found
    }

    pub(crate) fn counters(&self) -> ProxyCounters {
        let listeners = self
            .listeners()
            .iter()
            .map(|(name, listener)| (name.clone(), listener.counters.snapshot()))
            .collect();
        ProxyCounters { listeners }
    }
}
