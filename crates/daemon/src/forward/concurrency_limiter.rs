use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{
    clock::ClockInstant,
    config::RequestPriority,
    error::{ErrorKind, MeshError},
    ids::{RouteName, SlotCount},
    request::{
        AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionUpdate, QueueKey, ServerLoad,
        TimePublisher,
    },
};
use tokio::{sync::oneshot, time};

use crate::node::SystemClock;

/// Requests of a route after which its time says something about the server.
const MIN_SAMPLES: u32 = 6;

type SlotSignal = Result<(), ClockInstant>;
type SlotWaiter = oneshot::Sender<SlotSignal>;

/// A [`AdmissionQueue`] that requests wait at.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimiter {
    clock: SystemClock,
    gate: Mutex<AdmissionQueue<SlotWaiter>>,
}

impl ConcurrencyLimiter {
    pub(crate) fn new(clock: SystemClock, slots: SlotCount, queue_limit: usize) -> Arc<Self> {
        Arc::new(Self {
            clock,
            gate: Mutex::new(AdmissionQueue::new(slots, queue_limit)),
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] as soon as it is certain that the deadline cannot be met, or that
    /// more urgent requests take the room.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        priority: RequestPriority,
        deadline: ClockInstant,
    ) -> Result<SlotPermit, MeshError> {
        let offer = AdmissionRequest {
            priority,
            deadline,
            soft_deadline: None,
            route: None,
        };
        self.acquire_for(offer).await
    }

    /// Waits for a slot by all that is known of the request; see [`ConcurrencyLimiter::acquire`].
    pub(crate) async fn acquire_for(
        self: &Arc<Self>,
        offer: AdmissionRequest,
    ) -> Result<SlotPermit, MeshError> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let (verdict, refused) = self
            .lock()
            .submit_request(now, &offer, sender, &mut rand::rng());
        for waiter in refused {
            // A waiter that has gone away needs no answer.
            let _ = waiter.item.send(Err(waiter.retry_at));
        }
        match verdict {
            AdmissionDecision::Run => Ok(self.permit(offer.route)),
            AdmissionDecision::Refuse { retry_at } => Err(overloaded(retry_at)),
            AdmissionDecision::Wait {
                queue_key,
                queue_deadline,
            } => {
                let wait = SlotWait {
                    keeper: self,
                    place: queue_key,
                    route: offer.route,
                    receiver,
                };
                wait.finish(queue_deadline).await
            }
        }
    }

    /// Changes the number of slots and of places to wait.
    pub(crate) fn resize(&self, slots: SlotCount, queue_limit: usize) {
        let mut gate = self.lock();
        if gate.limit() == slots {
            return;
        }
        gate.set_queue_limit(queue_limit);
        let change = gate.set_limit(self.clock.now(), slots, &mut rand::rng());
        drop(gate);
        self.apply(change);
    }

    pub(crate) fn load(&self) -> ServerLoad {
        let gate = self.lock();
        ServerLoad {
            running: gate.running(),
            waiting: u32::try_from(gate.waiting()).unwrap_or(u32::MAX),
        }
    }

    /// Tells a publisher how long requests take; returns whether the other nodes need to know.
    pub(crate) fn publish_times(&self, now: ClockInstant, publisher: &mut TimePublisher) -> bool {
        publisher.update(now, self.lock().route_times(MIN_SAMPLES))
    }

    fn permit(self: &Arc<Self>, route: Option<RouteName>) -> SlotPermit {
        SlotPermit {
            keeper: Arc::clone(self),
            route,
            started_at: self.clock.now(),
            is_finished: false,
        }
    }

    fn release(&self, took: Option<bronzelb_kernel::clock::TimeBudget>) {
        let now = self.clock.now();
        let change = self.lock().release(now, took, &mut rand::rng());
        self.apply(change);
    }

    fn apply(&self, change: AdmissionUpdate<SlotWaiter>) {
        for waiter in change.refused {
            // A waiter that has gone away needs no answer.
            let _ = waiter.item.send(Err(waiter.retry_at));
        }
        for waiter in change.started {
            if waiter.send(Ok(())).is_err() {
                self.release(None);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionQueue<SlotWaiter>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot that a request holds; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    keeper: Arc<ConcurrencyLimiter>,
    route: Option<RouteName>,
    started_at: ClockInstant,
    is_finished: bool,
}

impl SlotPermit {
    /// Frees the slot of a request that ran to its end, so that the gate learns its time.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let took = self.started_at.elapsed(self.keeper.clock.now());
        if let Some(route) = self.route.as_ref().filter(|_| self.is_finished) {
            self.keeper.lock().record_route_time(route, took);
        }
        self.keeper.release(self.is_finished.then_some(took));
    }
}

/// A request's wait for a slot; dropping it leaves the queue.
struct SlotWait<'a> {
    keeper: &'a Arc<ConcurrencyLimiter>,
    place: QueueKey,
    route: Option<RouteName>,
    receiver: oneshot::Receiver<SlotSignal>,
}

impl SlotWait<'_> {
    async fn finish(mut self, give_up_at: ClockInstant) -> Result<SlotPermit, MeshError> {
        let left = give_up_at.remaining(self.keeper.clock.now()).to_std();
        match time::timeout(left, &mut self.receiver).await {
            Ok(Ok(Ok(()))) => Ok(self.keeper.permit(self.route.take())),
            Ok(Ok(Err(retry_at))) => Err(overloaded(retry_at)),
            _ => Err(overloaded(self.keeper.clock.now())),
        }
    }
}

impl Drop for SlotWait<'_> {
    fn drop(&mut self) {
        if self.keeper.lock().cancel(self.place).is_some() {
            return;
        }
        // The slot was given in the same moment; nobody uses it.
        if self.receiver.try_recv() == Ok(Ok(())) {
            self.keeper.release(None);
        }
    }
}

fn overloaded(retry_at: ClockInstant) -> MeshError {
    MeshError::new(
        ErrorKind::Overloaded,
        "there is no room for the request before its deadline",
    )
    .with_retry_at(retry_at)
}
