use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    error::{ErrorKind, MeshError},
    ids::{RouteName, SlotCount},
    member::StatedLimit,
    request::{
        AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionUpdate, ColdLimit, QueueKey,
        ServerLoad, Slowdown, TimePublisher,
    },
};
use tokio::{runtime::Handle, sync::oneshot, time};

use crate::node::SystemClock;

/// Minimum number of requests for a route's execution time to be representative of the server.
const MIN_SAMPLES: u32 = 6;

/// Signal to a waiter: a slot was granted, or the request was rejected.
type SlotSignal = Result<(), MeshError>;
type SlotWaiter = oneshot::Sender<SlotSignal>;

/// Limits concurrent requests, with an [`AdmissionQueue`] for those that wait.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimiter {
    clock: SystemClock,
    queue: Mutex<AdmissionQueue<SlotWaiter>>,
    /// Instant at which a task starts the requests that wait for the rate limit;
    /// [`ClockInstant::NEVER`] if there is none.
    wake_at: Mutex<ClockInstant>,
}

impl ConcurrencyLimiter {
    pub(crate) fn new(clock: SystemClock, slots: SlotCount, queue_limit: usize) -> Arc<Self> {
        Arc::new(Self {
            clock,
            queue: Mutex::new(AdmissionQueue::new(slots, queue_limit)),
            wake_at: Mutex::new(ClockInstant::NEVER),
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] as soon as the deadline cannot be met, or when requests of higher
    /// priority fill the queue.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        priority: RequestPriority,
        deadline: ClockInstant,
    ) -> Result<SlotPermit, MeshError> {
        let request = AdmissionRequest {
            priority,
            deadline,
            soft_deadline: None,
            account: None,
            route: None,
            is_call: false,
        };
        self.acquire_for(request, false).await
    }

    /// Waits for a slot for `request`; see [`ConcurrencyLimiter::acquire`].
    ///
    /// With `may_hand_on` it is also refused when the server has slowed down so much that another
    /// one would answer sooner.
    pub(crate) async fn acquire_for(
        self: &Arc<Self>,
        request: AdmissionRequest,
        may_hand_on: bool,
    ) -> Result<SlotPermit, MeshError> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let soft_deadline = request.soft_deadline.filter(|_| may_hand_on);
        let (decision, rejected_waiters) = {
            let mut queue = self.lock();
            let submitted = queue.submit_request(now, &request, sender, &mut rand::rng());
            if let (AdmissionDecision::Wait { queue_key, .. }, Some(soft_deadline)) =
                (submitted.0, soft_deadline)
            {
                queue.allow_hand_on(queue_key, soft_deadline);
            }
            submitted
        };
        self.schedule_start();
        for waiter in rejected_waiters {
            // The waiter may have been cancelled.
            let _ = waiter.item.send(Err(overloaded(waiter.retry_at)));
        }
        match decision {
            AdmissionDecision::Run => Ok(self.permit(request.route)),
            AdmissionDecision::Refuse { retry_at } => Err(overloaded(retry_at)),
            AdmissionDecision::Wait {
                queue_key,
                queue_deadline,
            } => {
                let slot_wait = SlotWait {
                    limiter: self,
                    queue_key,
                    route: request.route,
                    receiver,
                };
                slot_wait.wait_until(queue_deadline).await
            }
        }
    }

    /// Changes the number of slots and the queue limit.
    pub(crate) fn resize(self: &Arc<Self>, slots: SlotCount, queue_limit: usize) {
        let mut queue = self.lock();
        if queue.slots() == slots {
            return;
        }
        queue.set_queue_limit(queue_limit);
        let update = queue.set_slots(self.clock.now(), slots, &mut rand::rng());
        drop(queue);
        self.apply(update);
    }

    /// Records the rate limit that the response to a request sent at `sent_at` states.
    pub(crate) fn record_statement(self: &Arc<Self>, sent_at: ClockInstant, limit: StatedLimit) {
        let now = self.clock.now();
        let update = self
            .lock()
            .record_statement(now, sent_at, limit, &mut rand::rng());
        self.apply(update);
    }

    /// Records the slowdown that a response reports, and returns the number of waiting requests that
    /// are handed on to other servers because of it.
    pub(crate) fn record_slowdown(&self, reported: Option<Slowdown>) -> usize {
        let now = self.clock.now();
        let handed_on = self.lock().record_slowdown(now, reported, &mut rand::rng());
        let count = handed_on.len();
        for waiter in handed_on {
            let message = "the server has slowed down while the request waited";
            let error =
                MeshError::new(ErrorKind::Overloaded, message).with_retry_at(waiter.retry_at);
            // The waiter may have been cancelled.
            let _ = waiter.item.send(Err(error));
        }
        count
    }

    /// Holds slots for the requests of this node's predecessor; see [`AdmissionQueue::hold_slots`].
    pub(crate) fn hold_slots(&self, until: ClockInstant) {
        self.lock().hold_slots(until);
    }

    /// Records how many requests a response says that the server runs.
    pub(crate) fn record_running(self: &Arc<Self>, stated: Option<u32>) {
        let now = self.clock.now();
        let update = self.lock().record_running(now, stated, &mut rand::rng());
        self.apply(update);
    }

    /// Adopts a rate limit that another node knows, until the server's own first response.
    pub(crate) fn adopt_limit(self: &Arc<Self>, limit: StatedLimit) {
        let now = self.clock.now();
        let update = self.lock().adopt_limit(now, limit, &mut rand::rng());
        self.apply(update);
    }

    /// Returns the instant at which a request that is refused now may be sent again.
    pub(crate) fn retry_at(&self) -> ClockInstant {
        self.lock().retry_at(self.clock.now(), &mut rand::rng())
    }

    /// Sets the limit of a cold server; `None` if its service declares none.
    pub(crate) fn set_cold_limit(self: &Arc<Self>, limit: Option<ColdLimit>) {
        let now = self.clock.now();
        let update = self.lock().set_cold_limit(now, limit, &mut rand::rng());
        self.apply(update);
    }

    /// Returns the rate limit in force.
    pub(crate) fn limit(&self) -> StatedLimit {
        self.lock().limit()
    }

    pub(crate) fn load(&self) -> ServerLoad {
        let queue = self.lock();
        ServerLoad {
            running: queue.running(),
            waiting: u32::try_from(queue.waiting()).unwrap_or(u32::MAX),
            slowdown: queue.slowdown(self.clock.now()),
        }
    }

    /// Updates `publisher` with the execution times of the routes and returns whether they must be
    /// sent to the other of `members` nodes.
    pub(crate) fn publish_times(
        &self,
        now: ClockInstant,
        members: usize,
        publisher: &mut TimePublisher,
    ) -> bool {
        publisher.update(now, members, self.lock().route_times(MIN_SAMPLES))
    }

    fn permit(self: &Arc<Self>, route: Option<RouteName>) -> SlotPermit {
        SlotPermit {
            limiter: Arc::clone(self),
            route,
            started_at: self.service_clock(),
            is_finished: false,
        }
    }

    /// Returns the reading of the clock that runs at the server's speed.
    fn service_clock(&self) -> TimeBudget {
        self.lock().service_clock(self.clock.now())
    }

    fn release(self: &Arc<Self>, took: Option<TimeBudget>) {
        let now = self.clock.now();
        let update = self.lock().release(now, took, &mut rand::rng());
        self.apply(update);
    }

    fn apply(self: &Arc<Self>, update: AdmissionUpdate<SlotWaiter>) {
        for waiter in update.refused {
            // The waiter may have been cancelled.
            let _ = waiter.item.send(Err(overloaded(waiter.retry_at)));
        }
        for waiter in update.started {
            if waiter.send(Ok(())).is_err() {
                self.release(None);
            }
        }
        self.schedule_start();
    }

    /// Schedules the start of the requests that wait for the rate limit, if there are any.
    fn schedule_start(self: &Arc<Self>) {
        let Some(start) = self.lock().next_start() else {
            return;
        };
        let mut wake_at = self.wake_at.lock().unwrap_or_else(PoisonError::into_inner);
        // Without a runtime the process is shutting down.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let now = self.clock.now();
        // A task whose instant has passed may have ended with its thread.
        if start >= *wake_at && !wake_at.has_passed(now) {
            return;
        }
        *wake_at = start;
        let limiter = Arc::downgrade(self);
        let delay = start.remaining(now).to_std();
        runtime.spawn(async move {
            time::sleep(delay).await;
            if let Some(limiter) = limiter.upgrade() {
                limiter.start_due(start);
            }
        });
    }

    /// Starts the requests that the rate limit allows by now, unless another task does at an
    /// earlier instant than `wake_at`.
    fn start_due(self: &Arc<Self>, wake_at: ClockInstant) {
        {
            let mut scheduled = self.wake_at.lock().unwrap_or_else(PoisonError::into_inner);
            if *scheduled != wake_at {
                return;
            }
            *scheduled = ClockInstant::NEVER;
        }
        let update = self.lock().start_due(self.clock.now(), &mut rand::rng());
        self.apply(update);
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionQueue<SlotWaiter>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Slot held by a request, released on drop.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    limiter: Arc<ConcurrencyLimiter>,
    route: Option<RouteName>,
    /// Reading of the limiter's service clock at the start.
    started_at: TimeBudget,
    is_finished: bool,
}

impl SlotPermit {
    /// Releases the slot of a completed request and records its execution time.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let took = self.started_at.shortfall_from(self.limiter.service_clock());
        if let Some(route) = self.route.as_ref().filter(|_| self.is_finished) {
            self.limiter.lock().record_route_time(route, took);
        }
        self.limiter.release(self.is_finished.then_some(took));
    }
}

/// Queued request that waits for a slot and leaves the queue on drop.
struct SlotWait<'a> {
    limiter: &'a Arc<ConcurrencyLimiter>,
    queue_key: QueueKey,
    route: Option<RouteName>,
    receiver: oneshot::Receiver<SlotSignal>,
}

impl SlotWait<'_> {
    async fn wait_until(mut self, deadline: ClockInstant) -> Result<SlotPermit, MeshError> {
        let time_left = deadline.remaining(self.limiter.clock.now()).to_std();
        match time::timeout(time_left, &mut self.receiver).await {
            Ok(Ok(Ok(()))) => Ok(self.limiter.permit(self.route.take())),
            Ok(Ok(Err(error))) => Err(error),
            _ => Err(overloaded(self.limiter.retry_at())),
        }
    }
}

impl Drop for SlotWait<'_> {
    fn drop(&mut self) {
        if self.limiter.lock().cancel(self.queue_key).is_some() {
            return;
        }
        // The slot was granted concurrently and would otherwise leak.
        if matches!(self.receiver.try_recv(), Ok(Ok(()))) {
            self.limiter.release(None);
        }
    }
}

fn overloaded(retry_at: ClockInstant) -> MeshError {
    MeshError::new(
        ErrorKind::Overloaded,
        "no slot is available before the request's deadline",
    )
    .with_retry_at(retry_at)
}
