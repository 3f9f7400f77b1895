use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize};

/// Traffic of one listener since its opening.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerCounters {
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections that a rule or an unreachable target closed.
    pub broken: u64,
    /// Bytes passed from sources to the target.
    pub request_bytes: u64,
    /// Bytes passed from the target to sources.
    pub answer_bytes: u64,
}

/// Traffic by the listeners' names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyCounters {
    /// Traffic of each listener.
    pub listeners: BTreeMap<String, ListenerCounters>,
}

/// Counters of one listener that its connections share.
#[derive(Debug, Default)]
pub(crate) struct SharedCounters {
    pub(crate) connections: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) request_bytes: AtomicU64,
    pub(crate) answer_bytes: AtomicU64,
}

impl SharedCounters {
    pub(crate) fn read(&self) -> ListenerCounters {
        ListenerCounters {
            connections: self.connections.load(Ordering::Relaxed),
            broken: self.broken.load(Ordering::Relaxed),
            request_bytes: self.request_bytes.load(Ordering::Relaxed),
            answer_bytes: self.answer_bytes.load(Ordering::Relaxed),
        }
    }
}
