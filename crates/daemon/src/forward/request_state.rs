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
    error::{ErrorKind, MeshError},
    ids::{BackendName, RouteName, ServiceName, SlotCount},
    member::MemberTable,
    request::{
        AdaptiveLimit, AttemptOutcome, IdempotencyCache, LoadBalancer, RetryBudget, RetryPolicy,
        SharedBudget, WaitEstimator,
    },
};
use bronzelb_wire::peer::ForwardResponse;
use tokio::sync::watch;

use crate::{forward::concurrency_limiter::ConcurrencyLimiter, node::SystemClock};

const SERVICE_QUEUE_FACTOR: usize = 4;
const BACKEND_QUEUE_FACTOR: usize = 2;
const SUSPECT_QUEUE_LIMIT: usize = 64;
const DRAINING_RETRY_DELAY: TimeBudget = TimeBudget::from_millis(200);

/// Result of a request, shared by all that wait for the same idempotency key.
pub(crate) type SharedResult = Result<ForwardResponse, MeshError>;
/// Receiver of a running request's result.
pub(crate) type ResultReceiver = watch::Receiver<Option<SharedResult>>;

/// What a node's threads share about the requests that it admits and runs.
#[derive(Debug)]
pub struct RequestState {
    clock: SystemClock,
    book: Mutex<LoadBalancer>,
    members_digest: AtomicU64,
    budget: Mutex<RetryBudget>,
    budget_rule: Option<RetryPolicy>,
    budgets: Mutex<BTreeMap<ServiceName, SharedBudget>>,
    wait_estimator: Mutex<WaitEstimator>,
    entries: Mutex<BTreeMap<ServiceName, Arc<ServiceLimiter>>>,
    hosts: Mutex<BTreeMap<BackendName, Arc<BackendRuntime>>>,
    ledger: Mutex<IdempotencyCache<ResultReceiver, SharedResult>>,
    in_flight: AtomicUsize,
    is_closed: AtomicBool,
}

/// Gate of an entry node before one service.
#[derive(Debug)]
pub(crate) struct ServiceLimiter {
    pub(crate) limiter: Arc<ConcurrencyLimiter>,
    limit: Mutex<AdaptiveLimit>,
}

/// Gates of a backend server beside this node.
#[derive(Debug)]
pub(crate) struct BackendRuntime {
    /// Holds the server's slots.
    pub(crate) slot_limiter: Arc<ConcurrencyLimiter>,
    /// Lets one suspect of a crash through at a time.
    pub(crate) suspect_limiter: Arc<ConcurrencyLimiter>,
    /// Deaths of the server that this node has seen.
    pub(crate) crash_count: AtomicUsize,
    /// Whether the server has ever echoed a request's identifier.
    pub(crate) echoes_request_id: AtomicBool,
}

impl RequestState {
    pub(crate) fn new(clock: SystemClock, budget_rule: Option<RetryPolicy>) -> Self {
        Self {
            clock,
            book: Mutex::default(),
            members_digest: AtomicU64::new(0),
            budget: Mutex::default(),
            budget_rule,
            budgets: Mutex::default(),
            wait_estimator: Mutex::default(),
            entries: Mutex::default(),
            hosts: Mutex::default(),
            ledger: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            is_closed: AtomicBool::new(false),
        }
    }

    /// Returns what the node knows of all backend servers, locked.
    pub(crate) fn load_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        lock(&self.book)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Returns the rule of the budget that all nodes share, if they share one.
    pub(crate) const fn retry_policy(&self) -> Option<RetryPolicy> {
        self.budget_rule
    }

    /// Changes this node's part in the shared budget of `service`.
    pub(crate) fn with_shared_budget<T>(
        &self,
        rule: RetryPolicy,
        service: &ServiceName,
        change: impl FnOnce(&mut SharedBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let budget = budgets.entry(service.clone());
        change(budget.or_insert_with(|| SharedBudget::new(rule)))
    }

    /// Takes in how long a caller of `route` is ready to wait, and returns how long it has waited.
    pub(crate) fn record_caller_wait(&self, route: &RouteName, wait: TimeBudget) -> TimeBudget {
        lock(&self.wait_estimator).elapsed_wait(route, wait)
    }

    pub(crate) fn idempotency_cache(
        &self,
    ) -> MutexGuard<'_, IdempotencyCache<ResultReceiver, SharedResult>> {
        lock(&self.ledger)
    }

    /// Takes the members in when any of them has changed.
    pub(crate) fn sync_members(
        &self,
        now: ClockInstant,
        members: &MemberTable,
        config: &ConfigSnapshot,
    ) {
        let sum = members.iter().fold(1_u64, |sum, row| {
            let own = row.revision ^ row.incarnation.get().rotate_left(32) ^ row.state as u64;
            sum.wrapping_mul(31).wrapping_add(own)
        });
        if self.members_digest.swap(sum, Ordering::Relaxed) == sum {
            return;
        }
        self.load_balancer().sync(now, members.iter(), |service| {
            let spec = config.services.get(service);
            spec.map_or(TimeBudget::ZERO, |spec| spec.slow_start)
        });
    }

    /// Returns the gate before `service`, sized to the slots that its servers declare.
    pub(crate) fn service_limiter(&self, service: &ServiceName) -> Arc<ServiceLimiter> {
        let declared = self.load_balancer().slots(service);
        let mut entries = lock(&self.entries);
        if let Some(gate) = entries.get(service) {
            gate.set_declared_slots(declared);
            return Arc::clone(gate);
        }
        let gate = Arc::new(ServiceLimiter::new(self.clock, declared));
        entries.insert(service.clone(), Arc::clone(&gate));
        gate
    }

    /// Returns the gates of the backend server `name` with `slots` slots.
    pub(crate) fn backend_runtime(
        &self,
        name: &BackendName,
        slots: SlotCount,
    ) -> Arc<BackendRuntime> {
        let mut hosts = lock(&self.hosts);
        if let Some(gate) = hosts.get(name) {
            gate.slot_limiter.resize(slots, backend_queue_limit(slots));
            return Arc::clone(gate);
        }
        let gate = Arc::new(BackendRuntime {
            slot_limiter: ConcurrencyLimiter::new(self.clock, slots, backend_queue_limit(slots)),
            suspect_limiter: ConcurrencyLimiter::new(
                self.clock,
                SlotCount::new(1),
                SUSPECT_QUEUE_LIMIT,
            ),
            crash_count: AtomicUsize::new(0),
            echoes_request_id: AtomicBool::new(false),
        });
        hosts.insert(name.clone(), Arc::clone(&gate));
        gate
    }

    /// Returns the gates of every backend server that has had a request here.
    pub(crate) fn backend_runtimes(&self) -> Vec<(BackendName, Arc<BackendRuntime>)> {
        let hosts = lock(&self.hosts);
        let gates = hosts.iter();
        gates
            .map(|(name, gate)| (name.clone(), Arc::clone(gate)))
            .collect()
    }

    /// Counts a request as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Draining`] once the node takes no new requests.
    pub(crate) fn begin_request(self: &Arc<Self>) -> Result<FlightGuard, MeshError> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = FlightGuard {
            state: Arc::clone(self),
        };
        if self.is_closed.load(Ordering::SeqCst) {
            let retry_at = self.clock.now().after(DRAINING_RETRY_DELAY);
            let error = MeshError::new(ErrorKind::Draining, "the node is shutting down");
            return Err(error.with_retry_at(retry_at));
        }
        Ok(guard)
    }

    /// Refuses new requests from now on.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight at this node.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

impl BackendRuntime {
    /// Counts the death of the server's run that began after `earlier` deaths, once.
    pub(crate) fn note_death(&self, earlier: u32) {
        let (earlier, next) = (earlier as usize, earlier as usize + 1);
        // Another request in flight may have counted the same death already.
        let _ =
            self.crash_count
                .compare_exchange(earlier, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

impl ServiceLimiter {
    fn new(clock: SystemClock, declared: SlotCount) -> Self {
        let limit = AdaptiveLimit::new(declared);
        let slots = limit.get();
        Self {
            limiter: ConcurrencyLimiter::new(clock, slots, service_queue_limit(slots)),
            limit: Mutex::new(limit),
        }
    }

    /// Takes in the end of an attempt; `is_last` tells that its request gets no further one.
    pub(crate) fn record_outcome(&self, now: ClockInstant, outcome: AttemptOutcome, is_last: bool) {
        let mut limit = lock(&self.limit);
        limit.record_outcome(now, outcome, is_last);
        self.limiter
            .resize(limit.get(), service_queue_limit(limit.get()));
    }

    fn set_declared_slots(&self, declared: SlotCount) {
        let mut limit = lock(&self.limit);
        limit.set_declared_slots(declared);
        self.limiter
            .resize(limit.get(), service_queue_limit(limit.get()));
    }
}

/// Counts one request in flight.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    state: Arc<RequestState>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
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
