use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{
    member::MemberTable,
    spread::{GossipNode, RecordEntry},
};
use rand::rngs::StdRng;
use tokio::sync::{Notify, broadcast, futures::Notified};

const RECORD_CHANNEL_CAPACITY: usize = 1_024;

/// Gossip state of the node, shared by its listeners and tasks.
#[derive(Debug)]
pub struct GossipState {
    inner: Mutex<LockedNode>,
    cache: Mutex<MemberCache>,
    wake: Notify,
    changes: broadcast::Sender<RecordEntry>,
}

#[derive(Debug)]
struct LockedNode {
    node: GossipNode,
    rng: StdRng,
}

/// Cached copy of the member table, renewed only when the table has changed.
#[derive(Debug, Default)]
struct MemberCache {
    generation: u64,
    table: Arc<MemberTable>,
}

impl GossipState {
    /// Wraps a gossip node and its random number generator.
    #[must_use]
    pub fn new(node: GossipNode, rng: StdRng) -> Self {
        Self {
            inner: Mutex::new(LockedNode { node, rng }),
            cache: Mutex::default(),
            wake: Notify::new(),
            changes: broadcast::Sender::new(RECORD_CHANNEL_CAPACITY),
        }
    }

    /// Runs a step that may change the node, and wakes the gossip task if the step has left work
    /// for it.
    pub fn step<T>(&self, step: impl FnOnce(&mut GossipNode, &mut StdRng) -> T) -> T {
        let mut inner = self.lock();
        let LockedNode { node, rng } = &mut *inner;
        let result = step(node, rng);
        let needs_tick = node.needs_tick();
        drop(inner);
        if needs_tick {
            self.wake.notify_one();
        }
        result
    }

    /// Runs a read-only function on the node.
    pub fn read<T>(&self, read: impl FnOnce(&GossipNode) -> T) -> T {
        read(&self.lock().node)
    }

    /// Returns the current members.
    pub fn members(&self) -> Arc<MemberTable> {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let inner = self.lock();
        let table = inner.node.members();
        if cache.generation != table.generation() {
            cache.generation = table.generation();
            cache.table = Arc::new(table.clone());
        }
        Arc::clone(&cache.table)
    }

    /// Subscribes to changes of records.
    pub fn record_changes(&self) -> broadcast::Receiver<RecordEntry> {
        self.changes.subscribe()
    }

    /// Sends a changed record to the subscribers.
    pub(crate) fn announce_record(&self, entry: RecordEntry) {
        // Sending fails only when there is no subscriber.
        let _ = self.changes.send(entry);
    }

    /// Completes after the next step.
    pub(crate) fn next_step(&self) -> Notified<'_> {
        self.wake.notified()
    }

    /// Runs a step of the gossip task itself, without waking the task again.
    pub(crate) fn step_without_wake<T>(
        &self,
        step: impl FnOnce(&mut GossipNode, &mut StdRng) -> T,
    ) -> T {
        let mut inner = self.lock();
        let LockedNode { node, rng } = &mut *inner;
        step(node, rng)
    }

    fn lock(&self) -> MutexGuard<'_, LockedNode> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
