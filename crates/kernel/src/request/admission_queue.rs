use std::collections::BTreeMap;

use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{AccountName, RouteName, SlotCount},
    member::StatedLimit,
    request::{
        AccountRank, ColdLimit, ColdPacer, RatePacer, ServerSpeed, Slowdown,
        class_load::{ClassLoad, LoadClass},
        fair_order::{FairOrder, FairPlan, FairTurn, VirtualTime},
        slot_hold::SlotHold,
    },
};

/// Assumed service time until the first request has finished; short, so that no request is refused
/// because of an assumption.
const INITIAL_SERVICE_TIME: TimeBudget = TimeBudget::from_millis(5);
/// Divisor of the moving average: a new service time has a weight of one in this many.
const SERVICE_TIME_DIVISOR: u64 = 8;
/// The waiting requests are checked again once the mean service time has grown by one part in this
/// many.
const RECHECK_DIVISOR: u64 = 8;
/// Divisor of the remaining time that gives the longest wait of a request without a soft deadline;
/// the rest remains for the request's execution and for another server.
const WAIT_DIVISOR: u64 = 4;
/// Conservative estimate of a service time, in eighths of the route's mean.
const CONSERVATIVE_TIME_EIGHTHS: u64 = 10;
/// A request is short if its expected service time is at most the mean over all requests divided
/// by this; refusing it frees almost no capacity.
const SHORT_REQUEST_DIVISOR: u64 = 3;
/// Wait that is allowed even if the soft deadline cannot be met, so that a short queue does not
/// refuse requests.
const MIN_QUEUE_WAIT: TimeBudget = TimeBudget::from_millis(100);
/// Minimum number of recorded requests for a route's mean service time to show that a request has
/// no chance.
const MIN_TIME_SAMPLES: u32 = 6;
/// Divisor of a route's mean service time that gives the time in which hardly any request of the
/// route ends: 6% of log-normal times with a standard deviation of 0.4 are below half the mean.
const HOPELESS_TIME_DIVISOR: u64 = 2;
/// One in this many requests without a chance is let through, because the mean service time may be
/// that of a server that has recovered since.
const HOPELESS_PROBE_INTERVAL: u32 = 8;
/// Time, in microseconds, that a request needs to get from one host to another by way of its entry
/// node: four ways of 4 ms between data centres, and as much again for the nodes' work.
const HAND_ON_MICROS: u64 = 32_000;
/// Minimum retry delay before jitter, in microseconds: a few round trips to the caller.
const MIN_BASE_DELAY_MICROS: u64 = 5_000;
/// Maximum retry delay before jitter, in microseconds; callers give up rather than wait longer.
const MAX_BASE_DELAY_MICROS: u64 = 5_000_000;
/// Divisor of the queue limit that gives the places that one account may hold of a full queue while
/// other accounts want some. At a server, half of the places is one request for each slot.
const ACCOUNT_SHARE_DIVISOR: usize = 2;

/// Multiple of the queue limit at which waiting calls are refused by their number.
const CALL_QUEUE_FACTOR: usize = 4;

/// Key of a waiting request in an [`AdmissionQueue`].
///
/// Requests of one account, and those without an account, start in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    class: QueueClass,
    deadline: ClockInstant,
    sequence: u64,
}

/// Urgency of a waiting request, the more urgent first. Within a class, requests start in fair order
/// over accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct QueueClass {
    /// Priority of the account; requests without an account come first, because a request that is
    /// running may depend on them.
    account_priority: Option<RequestPriority>,
    priority: RequestPriority,
    /// Whether the request begins a run. A call goes before, because its run holds a slot already.
    begins_run: bool,
    /// Whether the request is likely to miss its soft deadline, so that a slot is better used for
    /// another request.
    is_late: bool,
}

impl QueueClass {
    const fn load_class(self) -> LoadClass {
        (self.account_priority, self.priority, self.begins_run)
    }
}

/// Request for a slot of an [`AdmissionQueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Priority of the request.
    pub priority: RequestPriority,
    /// Instant by which the request must be answered.
    pub deadline: ClockInstant,
    /// Instant by which the caller wants the response.
    ///
    /// A request that cannot meet it is refused, so that another request gets the slot while its
    /// response is still in time.
    pub soft_deadline: Option<ClockInstant>,
    /// Client account of the request; `None` for requests without a key, such as the calls of a
    /// running request.
    pub account: Option<AccountRank>,
    /// Route of the request; routes of one service differ in their service times.
    pub route: Option<RouteName>,
    /// Whether the request is a call of a run in progress.
    ///
    /// It starts before new requests of the same rank and waits as long as it can still be answered
    /// by its deadline, since its run fails without it.
    pub is_call: bool,
}

/// Decision of an [`AdmissionQueue`] on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot and starts now.
    Run,
    /// The request waits in the queue.
    Wait {
        /// Key with which the request can be cancelled.
        queue_key: QueueKey,
        /// Instant from which the request is refused instead of started.
        queue_deadline: ClockInstant,
    },
    /// The request has not run and will not run.
    Refuse {
        /// Instant from which a retry may succeed.
        retry_at: ClockInstant,
    },
}

/// Waiting request that is refused in favour of others or because it would start too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedRequest<T> {
    /// Item that identifies the request.
    pub item: T,
    /// Instant from which a retry may succeed.
    pub retry_at: ClockInstant,
}

/// Waiting requests whose state has changed because a slot became free or a limit changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionUpdate<T> {
    /// Requests that hold a slot and start now.
    pub started: Vec<T>,
    /// Requests that are refused.
    pub refused: Vec<RefusedRequest<T>>,
}

impl<T> Default for AdmissionUpdate<T> {
    fn default() -> Self {
        Self {
            started: Vec::new(),
            refused: Vec::new(),
        }
    }
}

/// Waiting request.
#[derive(Clone, Debug)]
struct WaitEntry<T> {
    item: T,
    /// Instant from which the request is refused instead of started.
    queue_deadline: ClockInstant,
    /// Expected service time of the request at the server's usual speed.
    expected_time: TimeBudget,
    /// Instant by which the caller wants the response, if the request may be handed on.
    hand_on_before: Option<ClockInstant>,
    account: Option<AccountName>,
    /// Virtual time of the request's arrival.
    arrival: VirtualTime,
}

impl<T> WaitEntry<T> {
    /// Returns the turn of the request's account; requests without an account are ordered by
    /// deadline alone.
    fn turn<'a>(&'a self, plan: &mut FairPlan<'a>) -> FairTurn {
        let account = self.account.as_ref();
        account.map_or_else(FairTurn::default, |account| {
            plan.next_turn(account, self.arrival, self.expected_time)
        })
    }
}

/// Number and total expected service time of waiting requests.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedWork {
    requests: usize,
    micros: u64,
}

impl QueuedWork {
    fn with<T>(self, entry: &WaitEntry<T>) -> Self {
        Self {
            requests: self.requests + 1,
            micros: self.micros + entry.expected_time.as_micros(),
        }
    }
}

/// Moving average of the service time of a route's requests.
#[derive(Clone, Copy, Debug)]
struct RouteTime {
    time: TimeBudget,
    /// Number of requests in the average.
    requests: u32,
    /// Number of requests without a chance since the latest request in the average.
    hopeless: u32,
}

/// Concurrency limit with a bounded priority queue for the requests that wait.
///
/// A request starts when a slot is free and the rate limit, if there is one, allows it.
///
/// Waiting requests are ordered by the priority of their account (requests without an account come
/// first), by priority, by whether they can still meet their soft deadline, by [`FairOrder`] over
/// accounts, and by deadline. A request that cannot start in time, given the measured service
/// times and the requests before it, is refused immediately, with the instant at which capacity is
/// expected. A request waits no longer than its soft deadline permits or, without one, than a
/// quarter of the time it had left on arrival, so that its caller can still try another server. If
/// the queue is full, a more urgent request evicts the last one, or the last one of an account of
/// the same priority that holds more than half of the queue.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::{
///     clock::ClockInstant,
///     config::RequestPriority,
///     ids::SlotCount,
///     request::{AdmissionDecision, AdmissionQueue},
/// };
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut queue = AdmissionQueue::new(SlotCount::new(1), 0);
/// let now = ClockInstant::from_millis(1);
/// let deadline = ClockInstant::from_millis(500);
/// let (first, _) = queue.submit(now, RequestPriority::NORMAL, deadline, 1, &mut rng);
/// let (second, _) = queue.submit(now, RequestPriority::NORMAL, deadline, 2, &mut rng);
/// assert_eq!(first, AdmissionDecision::Run);
/// assert!(matches!(second, AdmissionDecision::Refuse { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionQueue<T> {
    slots: u32,
    queue_limit: usize,
    running: u32,
    queue: BTreeMap<QueueKey, WaitEntry<T>>,
    /// Mean service time over all requests; [`INITIAL_SERVICE_TIME`] until one is measured.
    service_time: TimeBudget,
    route_times: BTreeMap<RouteName, RouteTime>,
    is_service_time_measured: bool,
    /// Service time at the last check of the whole queue.
    checked_service_time: TimeBudget,
    next_sequence: u64,
    pacer: RatePacer,
    speed: ServerSpeed,
    hold: SlotHold,
    fair_order: FairOrder,
    class_load: ClassLoad,
    /// Limit of a cold server, if its service declares one.
    cold_pacer: Option<ColdPacer>,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue for `slots` running and `queue_limit` waiting requests.
    #[must_use]
    pub fn new(slots: SlotCount, queue_limit: usize) -> Self {
        Self {
            slots: slots.get(),
            queue_limit,
            running: 0,
            queue: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            route_times: BTreeMap::new(),
            is_service_time_measured: false,
            checked_service_time: INITIAL_SERVICE_TIME,
            next_sequence: 0,
            pacer: RatePacer::default(),
            speed: ServerSpeed::default(),
            hold: SlotHold::default(),
            fair_order: FairOrder::default(),
            class_load: ClassLoad::default(),
            cold_pacer: None,
        }
    }

    /// Requests a slot; `item` identifies the request when it is started or refused later.
    ///
    /// Returns the decision on the request and the waiting requests that it evicted.
    pub fn submit(
        &mut self,
        now: ClockInstant,
        priority: RequestPriority,
        deadline: ClockInstant,
        item: T,
        rng: &mut impl Rng,
    ) -> (AdmissionDecision, Vec<RefusedRequest<T>>) {
        let request = AdmissionRequest {
            priority,
            deadline,
            soft_deadline: None,
            account: None,
            route: None,
            is_call: false,
        };
        self.submit_request(now, &request, item, rng)
    }

    /// Requests a slot with a soft deadline and a route, if known; see [`AdmissionQueue::submit`].
    pub fn submit_request(
        &mut self,
        now: ClockInstant,
        request: &AdmissionRequest,
        item: T,
        rng: &mut impl Rng,
    ) -> (AdmissionDecision, Vec<RefusedRequest<T>>) {
        let deadline = request.deadline;
        let load_class = (
            request.account.as_ref().map(|rank| rank.priority),
            request.priority,
            !request.is_call,
        );
        if deadline.has_passed(now) || self.is_hopeless(now, request) {
            return (self.refuse(now, load_class, rng), Vec::new());
        }
        let account = request.account.as_ref().map(|rank| &rank.account);
        let expected_time = self.expected_time(request.route.as_ref());
        let arrival = self.fair_order.arrival_time(self.service_time);
        if self.queue.is_empty() && self.may_start(now) {
            self.start(now, account, arrival, expected_time);
            self.class_load.record_start(now, load_class, expected_time);
            return (AdmissionDecision::Run, Vec::new());
        }
        let slowed_time = self.speed.expected_time(now, expected_time);
        let class = QueueClass {
            account_priority: request.account.as_ref().map(|rank| rank.priority),
            priority: request.priority,
            begins_run: !request.is_call,
            is_late: self.is_late(now, request, slowed_time),
        };
        let queue_key = QueueKey {
            class,
            deadline,
            sequence: self.next_sequence,
        };
        let queue_deadline = self.queue_deadline(now, request, slowed_time);
        let entry = WaitEntry {
            item,
            queue_deadline,
            expected_time,
            hand_on_before: None,
            account: account.cloned(),
            arrival,
        };
        self.queue.insert(queue_key, entry);
        if !self.may_wait(now, queue_key, queue_deadline) {
            self.queue.remove(&queue_key);
            return (self.refuse(now, load_class, rng), Vec::new());
        }
        self.next_sequence += 1;
        let refused = self.evict(now, rng);
        (
            AdmissionDecision::Wait {
                queue_key,
                queue_deadline,
            },
            refused,
        )
    }

    /// Removes a waiting request; returns its item, or `None` if it is no longer waiting.
    pub fn cancel(&mut self, queue_key: QueueKey) -> Option<T> {
        self.queue.remove(&queue_key).map(|entry| entry.item)
    }

    /// Allows a waiting request to be refused later because the server has slowed down and another
    /// one can still answer by `soft_deadline`.
    pub fn allow_hand_on(&mut self, queue_key: QueueKey, soft_deadline: ClockInstant) {
        if let Some(entry) = self.queue.get_mut(&queue_key) {
            entry.hand_on_before = Some(soft_deadline);
        }
    }

    /// Records the slowdown that a response reports; returns the waiting requests that are handed
    /// on.
    pub fn record_slowdown(
        &mut self,
        now: ClockInstant,
        reported: Option<Slowdown>,
        rng: &mut impl Rng,
    ) -> Vec<RefusedRequest<T>> {
        match self.speed.record_report(now, reported) {
            true => self.hand_on(now, rng),
            false => Vec::new(),
        }
    }

    /// Leaves all slots but one free until `until`, or until a response states how many requests the
    /// server runs: requests of this host's predecessor may still run there.
    pub fn hold_slots(&mut self, until: ClockInstant) {
        self.hold = SlotHold::new(self.slots.saturating_sub(1), until);
    }

    /// Records how many requests a response says that the server runs, `None` if it does not say so;
    /// returns the waiting requests that start or are refused.
    pub fn record_running(
        &mut self,
        now: ClockInstant,
        stated: Option<u32>,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        if self.hold.slots(now) == 0 {
            return AdmissionUpdate::default();
        }
        self.hold.record_running(stated, self.running);
        self.start_waiting(now, rng)
    }

    /// Returns the slowdown of the server that is expected now, relative to its own mean.
    #[must_use]
    pub fn slowdown(&self, now: ClockInstant) -> Slowdown {
        self.speed.slowdown(now)
    }

    /// Returns the reading of a clock that runs at the server's speed, for service times; see
    /// [`ServerSpeed::clock`].
    pub fn service_clock(&mut self, now: ClockInstant) -> TimeBudget {
        self.speed.clock(now)
    }

    /// Records the service time of a request of `route`, by [`AdmissionQueue::service_clock`].
    pub fn record_route_time(&mut self, route: &RouteName, took: TimeBudget) {
        match self.route_times.get_mut(route) {
            Some(average) => {
                average.time = moving_average(average.time, took);
                average.requests = average.requests.saturating_add(1);
                average.hopeless = 0;
            }
            None => {
                let first = RouteTime {
                    time: took,
                    requests: 1,
                    hopeless: 0,
                };
                self.route_times.insert(route.clone(), first);
            }
        }
    }

    /// Returns the mean service times of the routes with at least `min_requests` recorded requests.
    pub fn route_times(&self, min_requests: u32) -> impl Iterator<Item = (&RouteName, TimeBudget)> {
        self.route_times
            .iter()
            .filter(move |(_, average)| average.requests >= min_requests)
            .map(|(route, average)| (route, average.time))
    }

    /// Frees the slot of a request that ran for `took` by [`AdmissionQueue::service_clock`]; `None`
    /// if the request never started.
    ///
    /// Returns the waiting requests that start or are refused.
    pub fn release(
        &mut self,
        now: ClockInstant,
        took: Option<TimeBudget>,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.record_service_time(took);
        }
        self.start_waiting(now, rng)
    }

    /// Changes the number of slots; returns the waiting requests that start or are refused.
    pub fn set_slots(
        &mut self,
        now: ClockInstant,
        slots: SlotCount,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        self.slots = slots.get();
        self.start_waiting(now, rng)
    }

    /// Records the limit that the response to a request sent at `sent_at` states; returns the
    /// waiting requests that start or are refused.
    pub fn record_statement(
        &mut self,
        now: ClockInstant,
        sent_at: ClockInstant,
        limit: StatedLimit,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        let is_changed = self.pacer.record_statement(now, sent_at, limit);
        self.update_after(now, is_changed, rng)
    }

    /// Adopts a limit that another node knows, until the server's own first response; returns the
    /// waiting requests that start or are refused.
    pub fn adopt_limit(
        &mut self,
        now: ClockInstant,
        limit: StatedLimit,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        let is_changed = self.pacer.adopt_limit(now, limit);
        self.update_after(now, is_changed, rng)
    }

    /// Sets the limit of a cold server; `None` if its service declares none. Returns the waiting
    /// requests that start or are refused.
    pub fn set_cold_limit(
        &mut self,
        now: ClockInstant,
        limit: Option<ColdLimit>,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        let previous = self.start_after(now, 0);
        self.cold_pacer = limit.map(|limit| {
            let known = self.cold_pacer.take();
            let mut pacer = known.unwrap_or_else(|| ColdPacer::new(limit));
            pacer.set_limit(now, limit);
            pacer
        });
        let is_changed = self.start_after(now, 0) != previous;
        self.update_after(now, is_changed, rng)
    }

    /// Returns the rate limit in force.
    #[must_use]
    pub const fn limit(&self) -> StatedLimit {
        self.pacer.limit()
    }

    /// Starts the waiting requests that the rate limit allows by now.
    pub fn start_due(&mut self, now: ClockInstant, rng: &mut impl Rng) -> AdmissionUpdate<T> {
        self.start_waiting(now, rng)
    }

    /// Returns the instant at which [`AdmissionQueue::start_due`] must be called, or `None` if no
    /// request waits for the rate limit alone.
    #[must_use]
    pub fn next_start(&self) -> Option<ClockInstant> {
        let waits = !self.queue.is_empty() && self.running < self.slots;
        waits.then(|| self.next_paced_start().max(self.hold.end()))
    }

    /// Returns the instant from which the stated limit and the one of a cold server allow a
    /// request.
    fn next_paced_start(&self) -> ClockInstant {
        let cold = self.cold_pacer.as_ref().map(ColdPacer::next_start);
        self.pacer.next_start().max(cold.unwrap_or_default())
    }

    /// Returns the same if `ahead` requests start before.
    fn start_after(&self, now: ClockInstant, ahead: usize) -> ClockInstant {
        let cold = self.cold_pacer.as_ref();
        let cold = cold.map(|pacer| pacer.start_after(now, ahead));
        let stated = self.pacer.start_after(now, ahead);
        stated.max(cold.unwrap_or_default())
    }

    fn update_after(
        &mut self,
        now: ClockInstant,
        is_limit_changed: bool,
        rng: &mut impl Rng,
    ) -> AdmissionUpdate<T> {
        if !is_limit_changed {
            return AdmissionUpdate::default();
        }
        let mut update = self.start_waiting(now, rng);
        update.refused.extend(self.evict(now, rng));
        update
    }

    /// Changes the maximum number of waiting requests, with effect from the next arrival.
    pub fn set_queue_limit(&mut self, queue_limit: usize) {
        self.queue_limit = queue_limit;
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of slots.
    #[must_use]
    pub const fn slots(&self) -> SlotCount {
        SlotCount::new(self.slots)
    }

    /// Returns the moving average of the service time over all requests.
    #[must_use]
    pub const fn service_time(&self) -> TimeBudget {
        self.service_time
    }

    fn start_waiting(&mut self, now: ClockInstant, rng: &mut impl Rng) -> AdmissionUpdate<T> {
        let mut update = AdmissionUpdate::default();
        while self.may_start(now) {
            let Some(queue_key) = self.next_key() else {
                break;
            };
            let Some(entry) = self.queue.remove(&queue_key) else {
                break;
            };
            let item = entry.item;
            if entry.queue_deadline.has_passed(now) {
                let retry_at = self.class_retry_at(now, queue_key.class.load_class(), rng);
                update.refused.push(RefusedRequest { item, retry_at });
                continue;
            }
            let account = entry.account.as_ref();
            self.start(now, account, entry.arrival, entry.expected_time);
            self.class_load
                .record_start(now, queue_key.class.load_class(), entry.expected_time);
            update.started.push(item);
        }
        if self.must_recheck_queue() {
            update.refused.extend(self.evict(now, rng));
        }
        update
    }

    /// Returns whether the service time has grown so much that the queue must be checked again.
    fn must_recheck_queue(&self) -> bool {
        let checked = self.checked_service_time.as_micros();
        self.service_time.as_micros() > checked + checked / RECHECK_DIVISOR
    }

    /// Returns the key of the waiting request that starts next.
    fn next_key(&self) -> Option<QueueKey> {
        let (first, _) = self.queue.first_key_value()?;
        if first.class.account_priority.is_none() {
            return Some(*first);
        }
        let mut plan = self.fair_order.plan(self.service_time);
        let waiting = self.queue.iter();
        let in_class = waiting.take_while(|(key, _)| key.class == first.class);
        let planned = in_class.map(|(key, entry)| (entry.turn(&mut plan), *key));
        planned.min().map(|(_, key)| key)
    }

    /// Returns the waiting requests in the order in which they start.
    fn start_order(&self) -> Vec<(&QueueKey, &WaitEntry<T>)> {
        let mut plan = self.fair_order.plan(self.service_time);
        let waiting = self.queue.iter();
        let planned = waiting.map(|(key, entry)| (entry.turn(&mut plan), key, entry));
        let mut planned: Vec<_> = planned.collect();
        planned.sort_by_key(|(turn, key, _)| (key.class, *turn, **key));
        let ordered = planned.into_iter();
        ordered.map(|(_, key, entry)| (key, entry)).collect()
    }

    /// Returns whether a request that has just been added to the queue may stay there.
    fn may_wait(
        &self,
        now: ClockInstant,
        queue_key: QueueKey,
        queue_deadline: ClockInstant,
    ) -> bool {
        let order = self.start_order();
        if self.is_over_limit(&order) && self.overflow(&order) == Some(queue_key) {
            return false;
        }
        let ahead = order.iter().take_while(|(key, _)| **key != queue_key);
        let ahead = ahead.filter(|(_, entry)| !entry.queue_deadline.has_passed(now));
        let ahead = ahead.fold(QueuedWork::default(), |ahead, (_, entry)| ahead.with(entry));
        !self.starts_too_late(now, queue_key.class, queue_deadline, ahead)
    }

    /// Returns whether so many requests wait that one must be refused.
    ///
    /// Calls do not count towards the queue's limit but have a larger one, since they are refused by
    /// the expected wait alone, and short ones may wait in numbers.
    fn is_over_limit(&self, order: &[(&QueueKey, &WaitEntry<T>)]) -> bool {
        let new_runs = order.iter().filter(|(key, _)| key.class.begins_run);
        new_runs.count() > self.queue_limit || order.len() > self.queue_limit * CALL_QUEUE_FACTOR
    }

    /// Returns the request to refuse when the queue is over its limit, from the requests in the
    /// order in which they start.
    ///
    /// This is the last one, unless an account of the same priority holds more than its share while
    /// the last one's account does not.
    fn overflow(&self, order: &[(&QueueKey, &WaitEntry<T>)]) -> Option<QueueKey> {
        let (last, last_entry) = order.last()?;
        let share = (self.queue_limit / ACCOUNT_SHARE_DIVISOR).max(1);
        let mut held: BTreeMap<&AccountName, usize> = BTreeMap::new();
        for account in order.iter().filter_map(|(_, entry)| entry.account.as_ref()) {
            *held.entry(account).or_default() += 1;
        }
        let is_over = |entry: &WaitEntry<T>| {
            let account = entry.account.as_ref();
            account.is_some_and(|account| held.get(account).is_some_and(|held| *held > share))
        };
        if is_over(last_entry) {
            return Some(**last);
        }
        let priority = last.class.account_priority;
        let same_priority = order
            .iter()
            .rev()
            .take_while(|(key, _)| key.class.account_priority == priority);
        let mut over = same_priority.filter(|(_, entry)| is_over(entry));
        Some(over.next().map_or(**last, |(key, _)| **key))
    }

    /// Refuses waiting requests that exceed the queue limit or would start too late.
    fn evict(&mut self, now: ClockInstant, rng: &mut impl Rng) -> Vec<RefusedRequest<T>> {
        self.checked_service_time = self.service_time;
        let mut evicted = Vec::new();
        let mut ahead = QueuedWork::default();
        let mut kept = Vec::new();
        for (queue_key, entry) in self.start_order() {
            if self.starts_too_late(now, queue_key.class, entry.queue_deadline, ahead) {
                evicted.push(*queue_key);
            } else {
                ahead = ahead.with(entry);
                kept.push((queue_key, entry));
            }
        }
        while self.is_over_limit(&kept)
            && let Some(overflow) = self.overflow(&kept)
        {
            kept.retain(|(key, _)| **key != overflow);
            evicted.push(overflow);
        }
        self.refuse_waiting(now, evicted, rng)
    }

    /// Refuses the waiting requests that would be late here because the server is slowed, and in
    /// time on a server of the same usual speed that has a free slot.
    fn hand_on(&mut self, now: ClockInstant, rng: &mut impl Rng) -> Vec<RefusedRequest<T>> {
        let mut handed_on = Vec::new();
        let mut ahead = QueuedWork::default();
        for (queue_key, entry) in self.start_order() {
            let ends_after = |wait_micros: u64, time: TimeBudget| {
                now.after(TimeBudget::from_micros(wait_micros))
                    .after(conservative_time(time))
            };
            let usual_wait = self.wait_micros(ahead.micros);
            let wait = self
                .speed
                .expected_time(now, TimeBudget::from_micros(usual_wait));
            let time = self.speed.expected_time(now, entry.expected_time);
            let is_late_when_slowed = |soft_deadline: ClockInstant| {
                ends_after(wait.as_micros(), time) > soft_deadline
                    && ends_after(usual_wait, entry.expected_time) <= soft_deadline
                    && ends_after(HAND_ON_MICROS, entry.expected_time) <= soft_deadline
            };
            if entry.hand_on_before.is_some_and(is_late_when_slowed) {
                handed_on.push(*queue_key);
            } else {
                ahead = ahead.with(entry);
            }
        }
        self.refuse_waiting(now, handed_on, rng)
    }

    /// Removes waiting requests and returns them as refused.
    fn refuse_waiting(
        &mut self,
        now: ClockInstant,
        queue_keys: Vec<QueueKey>,
        rng: &mut impl Rng,
    ) -> Vec<RefusedRequest<T>> {
        let mut refused = Vec::with_capacity(queue_keys.len());
        for queue_key in queue_keys {
            let retry_at = self.class_retry_at(now, queue_key.class.load_class(), rng);
            if let Some(entry) = self.queue.remove(&queue_key) {
                let item = entry.item;
                refused.push(RefusedRequest { item, retry_at });
            }
        }
        refused
    }

    fn refuse(&self, now: ClockInstant, class: LoadClass, rng: &mut impl Rng) -> AdmissionDecision {
        AdmissionDecision::Refuse {
            retry_at: self.class_retry_at(now, class, rng),
        }
    }

    /// Returns whether a request would start too late if `ahead` runs before it and more urgent
    /// requests keep arriving as they have recently.
    fn starts_too_late(
        &self,
        now: ClockInstant,
        class: QueueClass,
        queue_deadline: ClockInstant,
        ahead: QueuedWork,
    ) -> bool {
        let overtaken = self
            .class_load
            .share_before(now, class.load_class(), self.slots);
        let usual_wait = self.wait_micros(ahead.micros) as f64 / (1.0 - overtaken);
        let usual_wait = TimeBudget::from_micros(usual_wait as u64);
        let slot_free_at = now.after(self.speed.expected_time(now, usual_wait));
        slot_free_at.max(self.start_after(now, ahead.requests)) > queue_deadline
    }

    fn may_start(&self, now: ClockInstant) -> bool {
        let held_slots = self.hold.slots(now).min(self.slots.saturating_sub(1));
        self.running + held_slots < self.slots && self.next_paced_start().has_passed(now)
    }

    fn start(
        &mut self,
        now: ClockInstant,
        account: Option<&AccountName>,
        arrival: VirtualTime,
        expected_time: TimeBudget,
    ) {
        self.running += 1;
        self.pacer.count_start(now);
        if let Some(account) = account {
            self.fair_order
                .record_start(account, arrival, expected_time);
        }
        if let Some(pacer) = &mut self.cold_pacer {
            pacer.count_start(now);
        }
    }

    /// Returns the time until a slot is free for a request if the queued requests before it take
    /// `ahead` microseconds.
    fn wait_micros(&self, ahead: u64) -> u64 {
        let slots = u64::from(self.slots.max(1));
        ahead.saturating_add(self.service_time.as_micros()) / slots
    }

    /// Returns the expected service time of a request of `route`.
    fn expected_time(&self, route: Option<&RouteName>) -> TimeBudget {
        let known = route.and_then(|route| self.route_times.get(route));
        known.map_or(self.service_time, |average| average.time)
    }

    /// Returns whether a request that starts now is likely to miss its soft deadline.
    ///
    /// A short request and a call never count as late.
    fn is_late(
        &self,
        now: ClockInstant,
        request: &AdmissionRequest,
        expected_time: TimeBudget,
    ) -> bool {
        let soft_deadline = request.soft_deadline;
        let is_too_late = soft_deadline
            .is_some_and(|instant| now > instant.before(conservative_time(expected_time)));
        is_too_late && !request.is_call && !self.is_short(expected_time)
    }

    /// Returns whether hardly any request of the route could be answered before the deadline.
    ///
    /// Such a request is refused even if a slot is free: it would occupy the slot until its
    /// deadline, and its caller could no longer be told whether it ran.
    fn is_hopeless(&mut self, now: ClockInstant, request: &AdmissionRequest) -> bool {
        let route = request.route.as_ref();
        let Some(average) = route.and_then(|route| self.route_times.get_mut(route)) else {
            return false;
        };
        let time_left = request.deadline.remaining(now).as_micros();
        let is_long = time_left < average.time.as_micros() / HOPELESS_TIME_DIVISOR;
        if !is_long || average.requests < MIN_TIME_SAMPLES {
            return false;
        }
        average.hopeless = average.hopeless.saturating_add(1);
        !average.hopeless.is_multiple_of(HOPELESS_PROBE_INTERVAL)
    }

    /// Returns whether a request is so short that refusing it frees almost no capacity.
    fn is_short(&self, expected_time: TimeBudget) -> bool {
        expected_time.as_micros() * SHORT_REQUEST_DIVISOR <= self.service_time.as_micros()
    }

    /// Returns the instant until which a request that arrives now may wait.
    ///
    /// This leaves time to meet the soft deadline or, without one, allows a quarter of the time
    /// left. A short request and a call may wait until the deadline can no longer be met.
    fn queue_deadline(
        &self,
        now: ClockInstant,
        request: &AdmissionRequest,
        expected_time: TimeBudget,
    ) -> ClockInstant {
        let latest_start = request.deadline.before(expected_time);
        if request.is_call {
            return latest_start;
        }
        let Some(soft_deadline) = request.soft_deadline else {
            let longest = request.deadline.remaining(now).as_micros() / WAIT_DIVISOR;
            return latest_start.min(now.after(TimeBudget::from_micros(longest)));
        };
        if self.is_short(expected_time) {
            return latest_start;
        }
        let preferred_start = soft_deadline.before(conservative_time(expected_time));
        latest_start.min(preferred_start.max(now.after(MIN_QUEUE_WAIT)))
    }

    /// Returns the instant at which the current queue will have drained by half or more and the
    /// rate limit allows another request, with random jitter so that retries do not coincide.
    ///
    /// The delay is short because a caller that retries early can still get its response in time.
    /// The running requests need not have finished by then, since slots are freed continuously.
    /// Without a queue and a limit it is a few round trips, so it also suits a request that the
    /// server itself has refused: if no other request waits, the server has room by its own count
    /// and its refusal does not depend on its load.
    pub fn retry_at(&self, now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        self.retry_after_drain(now, 0.0, rng)
    }

    /// Returns the instant at which there will be room for a request of `class`.
    fn class_retry_at(
        &self,
        now: ClockInstant,
        class: LoadClass,
        rng: &mut impl Rng,
    ) -> ClockInstant {
        let overtaken = self.class_load.share_before(now, class, self.slots);
        self.retry_after_drain(now, overtaken, rng)
    }

    /// Returns the instant to retry if more urgent requests take the share `overtaken` of the
    /// capacity meanwhile.
    fn retry_after_drain(
        &self,
        now: ClockInstant,
        overtaken: f64,
        rng: &mut impl Rng,
    ) -> ClockInstant {
        let queued = self.queue.values();
        let queued = queued.fold(QueuedWork::default(), QueuedWork::with);
        let next_start = self.start_after(now, queued.requests);
        let drain_micros = self
            .wait_micros(queued.micros)
            .max(next_start.remaining(now).as_micros());
        let drain_micros = (drain_micros as f64 / (1.0 - overtaken)) as u64;
        let base_delay = (drain_micros / 2).clamp(MIN_BASE_DELAY_MICROS, MAX_BASE_DELAY_MICROS);
        let jitter = TimeBudget::from_micros(rng.random_range(0..=base_delay));
        let earliest = now.after(TimeBudget::from_micros(base_delay));
        earliest.max(next_start).after(jitter)
    }

    fn record_service_time(&mut self, took: TimeBudget) {
        if !self.is_service_time_measured {
            self.is_service_time_measured = true;
            self.service_time = took;
            return;
        }
        self.service_time = moving_average(self.service_time, took);
    }
}

/// Returns a service time that is longer than usual, for estimates on the safe side.
fn conservative_time(expected_time: TimeBudget) -> TimeBudget {
    TimeBudget::from_micros(expected_time.as_micros() * CONSERVATIVE_TIME_EIGHTHS / 8)
}

/// Returns the moving average after one more sample.
fn moving_average(average: TimeBudget, took: TimeBudget) -> TimeBudget {
    let sum = average.as_micros() * (SERVICE_TIME_DIVISOR - 1) + took.as_micros();
    TimeBudget::from_micros(sum / SERVICE_TIME_DIVISOR)
}
