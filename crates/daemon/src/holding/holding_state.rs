use std::{
    convert::Infallible,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bronzelb_kernel::{
    clock::ClockInstant,
    holding::{
        ClosedConnection, ConnectionKind, HoldingLedger, HoldingLimits, RoomDecision, VmLimits,
    },
    ids::{ByteCount, DescriptorCount},
};
use cadence::CountedExt;
use rlimit::{Resource, getrlimit};
use tokio::{sync::oneshot, time};

use crate::{holding::ConnectionHold, metrics::MetricClient, node::SystemClock};

/// Sender whose drop ends the task of a connection.
pub(super) type CloseSender = oneshot::Sender<Infallible>;

/// Interval at which is checked whether connections have closed to make room.
const ROOM_INTERVAL: Duration = Duration::from_millis(5);

/// Account of what this node holds for its clients, shared by all threads.
#[derive(Debug)]
pub struct HoldingState {
    clock: SystemClock,
    metrics: MetricClient,
    limits: HoldingLimits,
    ledger: Mutex<HoldingLedger<CloseSender>>,
}

impl HoldingState {
    /// Creates an empty account.
    pub(crate) fn new(
        clock: SystemClock,
        metrics: MetricClient,
        limits: HoldingLimits,
    ) -> Arc<Self> {
        let ledger = HoldingLedger::new(current_limits(limits));
        Arc::new(Self {
            clock,
            metrics,
            limits,
            ledger: Mutex::new(ledger),
        })
    }

    /// Adds a connection; `None` if it has to close at once.
    pub(crate) fn add_connection(self: &Arc<Self>, kind: ConnectionKind) -> Option<ConnectionHold> {
        let (sender, receiver) = oneshot::channel();
        let added = {
            let mut ledger = self.lock();
            ledger.set_limits(current_limits(self.limits));
            ledger.add_connection(self.clock.now(), kind, sender)
        };
        let Ok((id, closed)) = added else {
            self.count(kind, "refused");
            return None;
        };
        self.close_all(closed);
        Some(ConnectionHold::new(Arc::clone(self), id, receiver))
    }

    /// Returns the memory that clients hold.
    #[must_use]
    pub fn held(&self) -> ByteCount {
        self.lock().held()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HoldingLedger<CloseSender>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts something as soon as there is room for it; returns false if there will be none.
    pub(super) async fn wait_room(
        &self,
        mut count: impl FnMut(
            &mut HoldingLedger<CloseSender>,
            ClockInstant,
        ) -> (RoomDecision, Vec<ClosedConnection<CloseSender>>),
    ) -> bool {
        loop {
            let (decision, closed) = count(&mut self.lock(), self.clock.now());
            self.close_all(closed);
            match decision {
                RoomDecision::Counted => return true,
                RoomDecision::Refused => return false,
                RoomDecision::Wait => time::sleep(ROOM_INTERVAL).await,
            }
        }
    }

    /// Ends the tasks of connections that make room for others.
    pub(super) fn close_all(&self, closed: Vec<ClosedConnection<CloseSender>>) {
        for connection in closed {
            self.count(connection.kind, "closed");
        }
    }

    fn count(&self, kind: ConnectionKind, outcome: &str) {
        // Cannot fail: the sink is in memory.
        let _ = self
            .metrics
            .incr_with_tags(&format!("connections_{outcome}_for_room"))
            .with_tag("listener", kind.name())
            .try_send();
    }
}

/// Returns the limits with the descriptors that the process may open now.
fn current_limits(limits: HoldingLimits) -> HoldingLimits {
    let vm = limits.vm();
    let open = getrlimit(Resource::NOFILE).ok();
    // A limit beyond the range is none.
    let open = open.and_then(|(soft, _)| u32::try_from(soft).ok());
    limits.with_vm(VmLimits {
        descriptors: vm
            .descriptors
            .min(DescriptorCount::new(open.unwrap_or(u32::MAX))),
        ..vm
    })
}
