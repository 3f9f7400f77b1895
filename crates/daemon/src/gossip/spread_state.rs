use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{
    member::MemberTable,
    spread::{GossipNode, RecordEntry},
};
use rand::rngs::StdRng;
use tokio::sync::{Notify, broadcast, futures::Notified};

const MAX_QUEUED_CHANGES: usize = 1_024;

/// The node's part in spreading, shared by its listeners and tasks.
#[derive(Debug)]
pub struct SpreadState {
    inner: Mutex<SpreadInner>,
    view: Mutex<MemberView>,
    wake: Notify,
    changes: broadcast::Sender<RecordEntry>,
}

#[derive(Debug)]
struct SpreadInner {
    node: GossipNode,
    rng: StdRng,
}

/// Copy of the member table, taken anew only when the table has changed.
#[derive(Debug, Default)]
struct MemberView {
    generation: u64,
    table: Arc<MemberTable>,
}

impl SpreadState {
    /// Wraps a node and its source of randomness.
    #[must_use]
    pub fn new(node: GossipNode, rng: StdRng) -> Self {
        Self {
            inner: Mutex::new(SpreadInner { node, rng }),
            view: Mutex::default(),
            wake: Notify::new(),
            changes: broadcast::Sender::new(MAX_QUEUED_CHANGES),
        }
    }

    /// Runs a step that may change the node, and has its actions carried out.
    pub fn step<T>(&self, step: impl FnOnce(&mut GossipNode, &mut StdRng) -> T) -> T {
        let mut inner = self.lock();
        let SpreadInner { node, rng } = &mut *inner;
        let result = step(node, rng);
        drop(inner);
        self.wake.notify_one();
        result
    }

    /// Reads from the node.
    pub fn read<T>(&self, read: impl FnOnce(&GossipNode) -> T) -> T {
        read(&self.lock().node)
    }

    /// Returns the members as they are now.
    pub fn members(&self) -> Arc<MemberTable> {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let inner = self.lock();
        let table = inner.node.members();
        if view.generation != table.generation() {
            view.generation = table.generation();
            view.table = Arc::new(table.clone());
        }
        Arc::clone(&view.table)
    }

    /// Returns a receiver of every record that changes from now on.
    pub fn record_changes(&self) -> broadcast::Receiver<RecordEntry> {
        self.changes.subscribe()
    }

    /// Passes a changed record to the receivers.
    pub(crate) fn announce_record(&self, entry: RecordEntry) {
        // Without a receiver there is nobody to tell.
        let _ = self.changes.send(entry);
    }

    /// Completes after the next step.
    pub(crate) fn stepped(&self) -> Notified<'_> {
        self.wake.notified()
    }

    /// Runs a step of the spreading task itself, without waking it again.
    pub(crate) fn drive<T>(&self, step: impl FnOnce(&mut GossipNode, &mut StdRng) -> T) -> T {
        let mut inner = self.lock();
        let SpreadInner { node, rng } = &mut *inner;
        step(node, rng)
    }

    fn lock(&self) -> MutexGuard<'_, SpreadInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
