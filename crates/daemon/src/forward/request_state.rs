use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ConfigSnapshot,
    error::MeshError,
    ids::{BackendName, RouteName, ServiceName, SlotCount},
    member::BackendIncarnation,
    request::{
        AdaptiveLimit, AttemptOutcome, CallRoutes, IdempotencyCache, LoadBalancer, RetryBudget,
        RetryPolicy, RunNumber, RunRank, RunRegistry, SharedBudget, WaitEstimator,
    },
};
use bronzelb_wire::peer::ForwardResponse;
use tokio::sync::watch;

use crate::{
    forward::{
        concurrency_limiter::ConcurrencyLimiter, drain_gate::DrainGate, limit_monitor::LimitMonitor,
    },
    gossip::GossipState,
    node::SystemClock,
};

const SERVICE_QUEUE_FACTOR: usize = 4;
const BACKEND_QUEUE_FACTOR: usize = 2;
const SUSPECT_QUEUE_LIMIT: usize = 64;
/// Time after this node's start for which slots are left to requests of its predecessor: work of
/// 600 ms at the usual speed that is slowed 2.5 times has ended by then; longer work may not have.
const PREDECESSOR_TIME: TimeBudget = TimeBudget::from_secs(2);

/// Result of a request, shared by all waiters with the same idempotency key.
pub(crate) type SharedResult = Result<ForwardResponse, MeshError>;
/// Receiver of a running request's result.
pub(crate) type ResultReceiver = watch::Receiver<Option<SharedResult>>;

/// Request state shared by all threads of a node.
#[derive(Debug)]
pub struct RequestState {
    /// Whether slots of older servers are left to the requests of the node's predecessor.
    holds_slots: bool,
    clock: SystemClock,
    started_at: ClockInstant,
    load_balancer: Mutex<LoadBalancer>,
    /// Generation of the member table that the load balancer reflects.
    members_generation: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
    retry_policy: Option<RetryPolicy>,
    shared_budgets: Mutex<BTreeMap<ServiceName, SharedBudget>>,
    wait_estimator: Mutex<WaitEstimator>,
    /// Runs in progress on the backend servers of this node.
    run_registry: Mutex<RunRegistry>,
    call_routes: Mutex<CallRoutes>,
    service_limiters: Mutex<BTreeMap<ServiceName, Arc<ServiceLimiter>>>,
    backends: Mutex<BTreeMap<BackendName, Arc<BackendRuntime>>>,
    idempotency_cache: Mutex<IdempotencyCache<ResultReceiver, SharedResult>>,
    in_flight: AtomicUsize,
    drain_gate: DrainGate,
}

/// Limits the requests that this node admits to one service.
#[derive(Debug)]
pub(crate) struct ServiceLimiter {
    pub(crate) slot_limiter: Arc<ConcurrencyLimiter>,
    adaptive_limit: Mutex<AdaptiveLimit>,
}

/// Runtime state of a backend server that this node hosts.
#[derive(Debug)]
pub(crate) struct BackendRuntime {
    /// Limits concurrent requests to the server's slots.
    pub(crate) slot_limiter: Arc<ConcurrencyLimiter>,
    /// Admits one request suspected of crashing servers at a time.
    pub(crate) suspect_limiter: Arc<ConcurrencyLimiter>,
    /// Crashes of the server that this node has observed.
    pub(crate) crash_count: AtomicUsize,
    /// Whether the server echoes request identifiers, by its latest response.
    ///
    /// Reset when a response is lost.
    pub(crate) echoes_request_id: AtomicBool,
    limit_monitor: Mutex<LimitMonitor>,
    /// When the server last responded, in microseconds of the node's clock.
    responded_at: AtomicU64,
}

impl RequestState {
    /// Creates the state of a node that has just started. `holds_slots` leaves slots of servers that
    /// are older than the node to the requests of its predecessor.
    pub(crate) fn new(
        clock: SystemClock,
        retry_policy: Option<RetryPolicy>,
        holds_slots: bool,
    ) -> Self {
        Self {
            holds_slots,
            started_at: clock.now(),
            clock,
            load_balancer: Mutex::default(),
            members_generation: AtomicU64::new(0),
            retry_budget: Mutex::default(),
            retry_policy,
            shared_budgets: Mutex::default(),
            wait_estimator: Mutex::default(),
            run_registry: Mutex::default(),
            call_routes: Mutex::default(),
            service_limiters: Mutex::default(),
            backends: Mutex::default(),
            idempotency_cache: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            drain_gate: DrainGate::default(),
        }
    }

    /// Locks and returns the load balancer, which holds the state of all backend servers.
    pub(crate) fn load_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        lock(&self.load_balancer)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Returns the policy of the retry budget that all nodes share, if there is one.
    pub(crate) const fn retry_policy(&self) -> Option<RetryPolicy> {
        self.retry_policy
    }

    /// Applies `change` to this node's part of the shared retry budget of `service`.
    pub(crate) fn with_shared_budget<T>(
        &self,
        policy: RetryPolicy,
        service: &ServiceName,
        change: impl FnOnce(&mut SharedBudget) -> T,
    ) -> T {
        let mut shared_budgets = lock(&self.shared_budgets);
        if let Some(budget) = shared_budgets.get_mut(service) {
            return change(budget);
        }
        let entry = shared_budgets.entry(service.clone());
        change(entry.or_insert_with(|| SharedBudget::new(policy)))
    }

    /// Records the time that a caller of `route` will wait, and returns the estimated time that it
    /// has already waited.
    pub(crate) fn record_caller_wait(&self, route: &RouteName, wait: TimeBudget) -> TimeBudget {
        lock(&self.wait_estimator).record_timeout(route, wait)
    }

    /// Registers a run until the guard is dropped.
    pub(crate) fn begin_run(&self, deadline: ClockInstant, rank: RunRank) -> RunGuard<'_> {
        RunGuard {
            state: self,
            number: lock(&self.run_registry).begin(deadline, rank),
        }
    }

    /// Returns the rank of the run beside this node that may have made a request with the given
    /// deadline.
    pub(crate) fn rank_of_call(&self, deadline: ClockInstant) -> Option<RunRank> {
        lock(&self.run_registry).rank_of_call(deadline).cloned()
    }

    /// Locks and returns the routes that only runs use.
    pub(crate) fn call_routes(&self) -> MutexGuard<'_, CallRoutes> {
        lock(&self.call_routes)
    }

    pub(crate) fn idempotency_cache(
        &self,
    ) -> MutexGuard<'_, IdempotencyCache<ResultReceiver, SharedResult>> {
        lock(&self.idempotency_cache)
    }

    /// Updates the load balancer if any member has changed.
    pub(crate) fn sync_members(
        &self,
        now: ClockInstant,
        gossip: &GossipState,
        config: &ConfigSnapshot,
    ) {
        let slow_start = |service: &ServiceName| {
            let spec = config.services.get(service);
            spec.map_or(TimeBudget::ZERO, |spec| spec.slow_start)
        };
        gossip.read(|node| {
            let members = node.members();
            let generation = members.generation();
            let synced = self.members_generation.swap(generation, Ordering::Relaxed);
            if synced == generation {
                return;
            }
            let mut load_balancer = self.load_balancer();
            match members.changed_since(synced) {
                Some(rows) => load_balancer.sync_changes(now, rows, slow_start),
                None => load_balancer.sync(now, members.iter(), slow_start),
            }
        });
    }

    /// Returns the limiter of `service`, sized by the slots that its servers declare.
    pub(crate) fn service_limiter(&self, service: &ServiceName) -> Arc<ServiceLimiter> {
        let declared = self.load_balancer().slots(service);
        let mut service_limiters = lock(&self.service_limiters);
        if let Some(limiter) = service_limiters.get(service) {
            limiter.set_declared_slots(declared);
            return Arc::clone(limiter);
        }
        let limiter = Arc::new(ServiceLimiter::new(self.clock, declared));
        service_limiters.insert(service.clone(), Arc::clone(&limiter));
        limiter
    }

    /// Returns the runtime state of the backend server `name`, resized to `slots` slots.
    pub(crate) fn backend_runtime(
        &self,
        name: &BackendName,
        slots: SlotCount,
        incarnation: BackendIncarnation,
    ) -> Arc<BackendRuntime> {
        let mut backends = lock(&self.backends);
        if let Some(runtime) = backends.get(name) {
            runtime
                .slot_limiter
                .resize(slots, backend_queue_limit(slots));
            return Arc::clone(runtime);
        }
        let runtime = Arc::new(BackendRuntime {
            slot_limiter: ConcurrencyLimiter::new(self.clock, slots, backend_queue_limit(slots)),
            suspect_limiter: ConcurrencyLimiter::new(
                self.clock,
                SlotCount::new(1),
                SUSPECT_QUEUE_LIMIT,
            ),
            crash_count: AtomicUsize::new(0),
            echoes_request_id: AtomicBool::new(false),
            limit_monitor: Mutex::default(),
            responded_at: AtomicU64::new(0),
        });
        let is_older = incarnation != BackendIncarnation::default()
            && incarnation.started_at < self.started_at;
        if is_older && self.holds_slots {
            runtime
                .slot_limiter
                .hold_slots(self.started_at.after(PREDECESSOR_TIME));
        }
        backends.insert(name.clone(), Arc::clone(&runtime));
        runtime
    }

    /// Returns the runtime state of a backend server that has received a request here.
    pub(crate) fn known_runtime(&self, name: &BackendName) -> Option<Arc<BackendRuntime>> {
        lock(&self.backends).get(name).cloned()
    }

    /// Returns the runtime state of every backend server that has received a request here.
    pub(crate) fn backend_runtimes(&self) -> Vec<(BackendName, Arc<BackendRuntime>)> {
        let backends = lock(&self.backends);
        let runtimes = backends.iter();
        runtimes
            .map(|(name, runtime)| (name.clone(), Arc::clone(runtime)))
            .collect()
    }

    /// Counts a request as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Draining`] once the node has stopped accepting requests, or if it may end before
    /// the request's deadline.
    pub(crate) fn begin_request(
        self: &Arc<Self>,
        deadline: ClockInstant,
        is_idempotent: bool,
    ) -> Result<FlightGuard, MeshError> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = FlightGuard {
            state: Arc::clone(self),
        };
        let now = self.clock.now();
        self.drain_gate.check_new(now, deadline, is_idempotent)?;
        Ok(guard)
    }

    /// Returns the gate that refuses requests while the node shuts down.
    pub(crate) const fn drain_gate(&self) -> &DrainGate {
        &self.drain_gate
    }

    /// Returns the number of requests in flight at this node.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

impl BackendRuntime {
    /// Locks and returns the counts of requests sent to the server.
    pub(crate) fn limit_monitor(&self) -> MutexGuard<'_, LimitMonitor> {
        lock(&self.limit_monitor)
    }

    /// Records that the server has responded.
    pub(crate) fn record_response(&self, now: ClockInstant) {
        self.responded_at
            .fetch_max(now.as_micros(), Ordering::Relaxed);
    }

    /// Returns whether the server has responded to any request since `instant`.
    pub(crate) fn has_responded_since(&self, instant: ClockInstant) -> bool {
        self.responded_at.load(Ordering::Relaxed) >= instant.as_micros()
    }

    /// Increments the crash count if it still equals `prior_crashes`.
    pub(crate) fn record_crash(&self, prior_crashes: u32) {
        let (prior_crashes, next) = (prior_crashes as usize, prior_crashes as usize + 1);
        // Another request in flight may already have counted the same crash.
        let _ = self.crash_count.compare_exchange(
            prior_crashes,
            next,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }
}

impl ServiceLimiter {
    fn new(clock: SystemClock, declared: SlotCount) -> Self {
        let limit = AdaptiveLimit::new(declared);
        let slots = limit.get();
        Self {
            slot_limiter: ConcurrencyLimiter::new(clock, slots, service_queue_limit(slots)),
            adaptive_limit: Mutex::new(limit),
        }
    }

    /// Records the outcome of an attempt; `is_final` means that the request is not retried.
    pub(crate) fn record_outcome(
        &self,
        now: ClockInstant,
        outcome: AttemptOutcome,
        is_final: bool,
    ) {
        let mut limit = lock(&self.adaptive_limit);
        limit.record_outcome(now, outcome, is_final);
        self.slot_limiter
            .resize(limit.get(), service_queue_limit(limit.get()));
    }

    fn set_declared_slots(&self, declared: SlotCount) {
        let mut limit = lock(&self.adaptive_limit);
        limit.set_declared_slots(declared);
        self.slot_limiter
            .resize(limit.get(), service_queue_limit(limit.get()));
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    state: Arc<RequestState>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps a run registered until dropped.
#[derive(Debug)]
pub(crate) struct RunGuard<'a> {
    state: &'a RequestState,
    number: RunNumber,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        lock(&self.state.run_registry).end(self.number);
    }
}

fn service_queue_limit(slots: SlotCount) -> usize {
    slots.get() as usize * SERVICE_QUEUE_FACTOR
}

fn backend_queue_limit(slots: SlotCount) -> usize {
    slots.get() as usize * BACKEND_QUEUE_FACTOR
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
