use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize};

/// Traffic counters of one listener since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerCounters {
    /// Accepted connections.
    pub connections: u64,
    /// Connections closed by a rule or by a connection error, such as an unreachable target.
    pub broken: u64,
    /// Bytes forwarded from sources to the target.
    pub request_bytes: u64,
    /// Bytes forwarded from the target to sources.
    pub answer_bytes: u64,
}

/// Traffic counters of all listeners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyCounters {
    /// Counters by listener name.
    pub listeners: BTreeMap<String, ListenerCounters>,
}

/// Atomic counters of one listener, shared by its connections.
#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    pub(crate) connections: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) request_bytes: AtomicU64,
    pub(crate) answer_bytes: AtomicU64,
}

impl AtomicCounters {
    pub(crate) fn snapshot(&self) -> ListenerCounters {
        ListenerCounters {
            connections: self.connections.load(Ordering::Relaxed),
            broken: self.broken.load(Ordering::Relaxed),
            request_bytes: self.request_bytes.load(Ordering::Relaxed),
            answer_bytes: self.answer_bytes.load(Ordering::Relaxed),
        }
    }
}
