use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    ids::{BackendName, NodeName},
    member::{DEPARTURE_KIND, DepartureNotice},
    spread::{RecordEntry, RecordKey, RecordValue},
};
use slog::{info, warn};
use tokio::{sync::Notify, time};

use crate::{log::EventName, node::NodeState};

/// Copies of a notice at other nodes that an acknowledgement waits for. One is left if another node
/// fails together with this one.
const WANTED_COPIES: usize = 2;
/// Longest wait for the copies. Servers give an announcement up after one second.
const COPY_TIMEOUT: TimeBudget = TimeBudget::from_millis(700);
/// Maximum number of notices whose copies are counted; a VM has one or a few servers at a time.
const MAX_COUNTED: usize = 64;

/// Nodes that hold copies of the departure notices which this node has to acknowledge.
#[derive(Debug, Default)]
pub struct DepartureCopies {
    counted: Mutex<BTreeMap<RecordKey, NoticeCopies>>,
    changed: Notify,
}

#[derive(Debug)]
struct NoticeCopies {
    value: RecordValue,
    holders: BTreeSet<NodeName>,
}

impl DepartureCopies {
    /// Starts to count the copies of a notice, unless they are counted already.
    fn expect(&self, entry: &RecordEntry) {
        let mut counted = self.lock();
        let known = counted.get(&entry.key);
        if known.is_some_and(|known| known.value == entry.value) {
            return;
        }
        if counted.len() >= MAX_COUNTED {
            counted.pop_first();
        }
        let copies = NoticeCopies {
            value: entry.value.clone(),
            holders: BTreeSet::new(),
        };
        counted.insert(entry.key.clone(), copies);
    }

    /// Counts the copies that `node` has received with a message to which it replied.
    pub(crate) fn confirm(&self, node: &NodeName, entries: &[RecordEntry]) {
        let mut counted = self.lock();
        for entry in entries {
            if let Some(copies) = counted.get_mut(&entry.key)
                && copies.value == entry.value
            {
                copies.holders.insert(node.clone());
            }
        }
        drop(counted);
        self.changed.notify_waiters();
    }

    fn count(&self, key: &RecordKey) -> usize {
        let counted = self.lock();
        counted.get(key).map_or(0, |copies| copies.holders.len())
    }

    /// Waits until `wanted` other nodes hold a copy.
    async fn wait(&self, key: &RecordKey, wanted: usize) {
        loop {
            let changed = self.changed.notified();
            if self.count(key) >= wanted {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RecordKey, NoticeCopies>> {
        self.counted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the records of a message whose copies are counted.
pub(crate) fn departure_records(records: &[RecordEntry]) -> Vec<RecordEntry> {
    let departures = records
        .iter()
        .filter(|entry| entry.key.kind == DEPARTURE_KIND);
    departures.cloned().collect()
}

/// Gives other nodes copies of a server's departure, so that it is not forgotten when this process
/// ends before the last delayed heartbeat has arrived.
///
/// # Errors
///
/// [`ErrorKind::NotReady`] if other nodes are known and none of them has a copy in time; the
/// departure must not be acknowledged then.
pub(crate) async fn copy_departure(state: &NodeState, name: &BackendName) -> Result<(), MeshError> {
    let Some(notice) = state.backends().departure(name).copied() else {
        return Ok(());
    };
    let entry = notice.to_record(name);
    let copies = &state.departure_copies;
    copies.expect(&entry);
    let is_new = state.put_record(entry.key.clone(), entry.value)?;
    let own = &state.settings.node;
    let members = state.members();
    let others = members.live().filter(|row| row.node != *own).count();
    let timeout = COPY_TIMEOUT.to_std();
    let wanted = others.min(WANTED_COPIES);
    if !is_new && copies.count(&entry.key) < wanted {
        let gossip = &state.gossip;
        gossip.step(|node, _| node.push_record_again(&entry.key));
    }
    let _ = time::timeout(timeout, copies.wait(&entry.key, wanted)).await;
    if others == 0 || copies.count(&entry.key) > 0 {
        return Ok(());
    }
    state.count("departure_not_copied");
    let message = format!("no other node has confirmed the departure of backend server {name}");
    if state.should_log(EventName::AnnouncementRefused) {
        warn!(state.logger, "{}", EventName::AnnouncementRefused; "message" => &message);
    }
    Err(MeshError::new(ErrorKind::NotReady, message).with_retry_at(state.now()))
}

/// Applies a changed record, if it is a server's departure.
pub(crate) fn apply_departure_record(state: &NodeState, entry: &RecordEntry) {
    if entry.key.kind != DEPARTURE_KIND {
        return;
    }
    match DepartureNotice::from_record(entry) {
        Ok((name, notice)) => {
            if state.backends().record_notice(&name, notice) {
                state.publish_backends();
                info!(state.logger, "{}", EventName::BackendLeft; "backend" => name.to_string());
            }
        }
        Err(error) => {
            state.count("record_refused");
            warn!(state.logger, "{}", EventName::RecordRefused; "message" => error.to_string());
        }
    }
}
