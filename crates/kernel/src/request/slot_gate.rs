use std::collections::BTreeMap;

use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
};

/// Service time before the first request has ended; short, so that nothing is refused by a guess.
const FIRST_SERVICE_TIME: TimeBudget = TimeBudget::from_millis(5);
/// Requests over which the service time is averaged.
const SERVICE_TIME_WEIGHT: u64 = 8;
/// Part by which the service time must grow before the whole queue is examined anew.
const EXAMINE_DIVISOR: u64 = 8;
/// Part of its time that a request may wait where nobody says when its answer is wanted; the rest
/// is left for the work and another server.
const WAIT_DIVISOR: u64 = 4;
/// Part of a route's usual time by which longer work exceeds it, in eighths.
const LONG_WORK_EIGHTHS: u64 = 10;
/// How much shorter than the gate's average work is when refusing it frees almost nothing.
const SHORT_WORK_DIVISOR: u64 = 3;
/// Time that even a request that is late already may wait, so that a short queue refuses nobody.
const SHORT_WAIT: TimeBudget = TimeBudget::from_millis(100);
/// Shortest time to come back, in microseconds: some round trips to the caller.
const MIN_RETRY_MICROS: u64 = 5_000;
/// Longest time to come back, in microseconds; no caller has more patience.
const MAX_RETRY_MICROS: u64 = 5_000_000;

/// Place of a waiting request in a [`SlotGate`]'s queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePlace {
    priority: RequestPriority,
    /// Whether the answer is likely late already, so that a slot does more for another request.
    is_late: bool,
    deadline: ClockInstant,
    sequence: u64,
}

/// What a [`SlotGate`] knows of a request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotOffer {
    /// Rank of the request in the queue.
    pub priority: RequestPriority,
    /// Instant by which the request must be answered.
    pub deadline: ClockInstant,
    /// Instant by which the caller wants the answer; a request that cannot make it is refused, so
    /// that another gets the slot while its answer is still worth the most.
    pub wanted_by: Option<ClockInstant>,
    /// Route of the request; routes of one service differ in the time that they take.
    pub route: Option<RouteName>,
}

/// What becomes of a request that asks a [`SlotGate`] for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// The request holds a slot and runs now.
    Run,
    /// The request waits.
    Wait {
        /// Place by which the request is withdrawn.
        place: QueuePlace,
        /// Instant from which the request can no longer make its deadline.
        give_up_at: ClockInstant,
    },
    /// The request has not run and will not.
    Refuse {
        /// Instant from which a retry may succeed.
        retry_at: ClockInstant,
    },
}

/// A waiting request that is refused in favour of others or for lack of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedWaiter<T> {
    /// What the request was queued with.
    pub item: T,
    /// Instant from which a retry may succeed.
    pub retry_at: ClockInstant,
}

/// Waiting requests that a freed slot or a new arrival affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateChange<T> {
    /// Requests that hold a slot from now on.
    pub started: Vec<T>,
    /// Requests that get their final answer at once.
    pub refused: Vec<RefusedWaiter<T>>,
}

impl<T> Default for GateChange<T> {
    fn default() -> Self {
        Self {
            started: Vec::new(),
            refused: Vec::new(),
        }
    }
}

/// A waiting request, and the instant from which it is refused rather than started.
#[derive(Clone, Debug)]
struct WaitEntry<T> {
    item: T,
    give_up_at: ClockInstant,
    /// Time that the request is expected to take.
    expected: TimeBudget,
}

/// Time that requests of a route take, learned from a number of them.
#[derive(Clone, Copy, Debug)]
struct RouteTime {
    time: TimeBudget,
    requests: u32,
}

/// A limit on requests that run at once, with a bounded queue before it.
///
/// The queue is ordered by priority, then those that can be answered in time before those that
/// cannot, then by deadline. A request that cannot make its deadline,
/// by the measured service time and the requests before it, is refused at once with the instant
/// at which room is expected. No request waits longer than its answer is wanted, or than a quarter
/// of the time that it had left on arrival, so that its caller can still turn elsewhere. When the
/// queue is full, a more urgent arrival displaces the last one in the queue.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::{
///     clock::ClockInstant,
///     config::RequestPriority,
///     ids::SlotCount,
///     request::{GateVerdict, SlotGate},
/// };
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut gate = SlotGate::new(SlotCount::new(1), 0);
/// let now = ClockInstant::from_millis(1);
/// let deadline = ClockInstant::from_millis(500);
/// let (first, _) = gate.offer(now, RequestPriority::NORMAL, deadline, 1, &mut rng);
/// let (second, _) = gate.offer(now, RequestPriority::NORMAL, deadline, 2, &mut rng);
/// assert_eq!(first, GateVerdict::Run);
/// assert!(matches!(second, GateVerdict::Refuse { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct SlotGate<T> {
    limit: u32,
    queue_limit: usize,
    running: u32,
    queue: BTreeMap<QueuePlace, WaitEntry<T>>,
    service_time: TimeBudget,
    route_times: BTreeMap<RouteName, RouteTime>,
    has_learned: bool,
    /// Service time by which the queue was last examined.
    examined_for: TimeBudget,
    next_sequence: u64,
}

impl<T> SlotGate<T> {
    /// Builds a gate with `slots` places to run and `queue_limit` places to wait.
    #[must_use]
    pub fn new(slots: SlotCount, queue_limit: usize) -> Self {
        Self {
            limit: slots.get(),
            queue_limit,
            running: 0,
            queue: BTreeMap::new(),
            service_time: FIRST_SERVICE_TIME,
            route_times: BTreeMap::new(),
            has_learned: false,
            examined_for: FIRST_SERVICE_TIME,
            next_sequence: 0,
        }
    }

    /// Asks for a slot; `item` identifies the request when it starts or is refused later.
    ///
    /// Returns the verdict on the request, and the waiting requests that it displaced.
    pub fn offer(
        &mut self,
        now: ClockInstant,
        priority: RequestPriority,
        deadline: ClockInstant,
        item: T,
        rng: &mut impl Rng,
    ) -> (GateVerdict, Vec<RefusedWaiter<T>>) {
        let offer = SlotOffer {
            priority,
            deadline,
            wanted_by: None,
            route: None,
        };
        self.offer_work(now, &offer, item, rng)
    }

    /// Asks for a slot by all that is known of the request; see [`SlotGate::offer`].
    pub fn offer_work(
        &mut self,
        now: ClockInstant,
        offer: &SlotOffer,
        item: T,
        rng: &mut impl Rng,
    ) -> (GateVerdict, Vec<RefusedWaiter<T>>) {
        let deadline = offer.deadline;
        if deadline.has_passed(now) {
            return (self.refuse(now, rng), Vec::new());
        }
        if self.running < self.limit && self.queue.is_empty() {
            self.running += 1;
            return (GateVerdict::Run, Vec::new());
        }
        let expected = self.expected(offer.route.as_ref());
        let place = QueuePlace {
            priority: offer.priority,
            is_late: self.is_late(now, offer, expected),
            deadline,
            sequence: self.next_sequence,
        };
        let is_last = self
            .queue
            .last_key_value()
            .is_none_or(|(last, _)| place > *last);
        let is_full = self.queue.len() >= self.queue_limit;
        let ahead = self.queue.range(..place);
        let ahead = ahead.filter(|(_, entry)| !entry.give_up_at.has_passed(now));
        let ahead: u64 = ahead.map(|(_, entry)| entry.expected.as_micros()).sum();
        let give_up_at = self.give_up_at(now, offer, expected);
        if (is_full && is_last) || self.is_hopeless(now, give_up_at, ahead) {
            return (self.refuse(now, rng), Vec::new());
        }
        self.next_sequence += 1;
        let entry = WaitEntry {
            item,
            give_up_at,
            expected,
        };
        self.queue.insert(place, entry);
        let refused = self.displace(now, rng);
        (GateVerdict::Wait { place, give_up_at }, refused)
    }

    /// Withdraws a waiting request; returns its item, or `None` when it no longer waits.
    pub fn withdraw(&mut self, place: QueuePlace) -> Option<T> {
        self.queue.remove(&place).map(|entry| entry.item)
    }

    /// Takes in the time for which a request of `route` ran.
    pub fn learn_route(&mut self, route: &RouteName, took: TimeBudget) {
        match self.route_times.get_mut(route) {
            Some(held) => {
                held.time = blend(held.time, took);
                held.requests = held.requests.saturating_add(1);
            }
            None => {
                let first = RouteTime {
                    time: took,
                    requests: 1,
                };
                self.route_times.insert(route.clone(), first);
            }
        }
    }

    /// Returns the times of the routes that have been learned from at least `requests` requests.
    pub fn route_times(&self, requests: u32) -> impl Iterator<Item = (&RouteName, TimeBudget)> {
        self.route_times
            .iter()
            .filter(move |(_, learned)| learned.requests >= requests)
            .map(|(route, learned)| (route, learned.time))
    }

    /// Frees the slot of a request that ran for `took`, or that never began when `None`.
    pub fn release(
        &mut self,
        now: ClockInstant,
        took: Option<TimeBudget>,
        rng: &mut impl Rng,
    ) -> GateChange<T> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.learn(took);
        }
        self.start_waiting(now, rng)
    }

    /// Changes the number of places to run; returns the waiting requests that start at once.
    pub fn set_limit(
        &mut self,
        now: ClockInstant,
        slots: SlotCount,
        rng: &mut impl Rng,
    ) -> GateChange<T> {
        self.limit = slots.get();
        self.start_waiting(now, rng)
    }

    /// Changes the number of places to wait, for the next arrivals.
    pub fn set_queue_limit(&mut self, queue_limit: usize) {
        self.queue_limit = queue_limit;
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of places to run.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        SlotCount::new(self.limit)
    }

    /// Returns the moving average of the time that a request takes.
    #[must_use]
    pub const fn service_time(&self) -> TimeBudget {
        self.service_time
    }

    fn start_waiting(&mut self, now: ClockInstant, rng: &mut impl Rng) -> GateChange<T> {
        let mut change = GateChange::default();
        while self.running < self.limit {
            let Some((_, entry)) = self.queue.pop_first() else {
                break;
            };
            let item = entry.item;
            if entry.give_up_at.has_passed(now) {
                let retry_at = self.retry_at(now, rng);
                change.refused.push(RefusedWaiter { item, retry_at });
                continue;
            }
            self.running += 1;
            change.started.push(item);
        }
        if self.has_slowed() {
            change.refused.extend(self.displace(now, rng));
        }
        change
    }

    /// Returns whether requests take so much longer that the queue needs another look.
    fn has_slowed(&self) -> bool {
        let examined = self.examined_for.as_micros();
        self.service_time.as_micros() > examined + examined / EXAMINE_DIVISOR
    }

    fn displace(&mut self, now: ClockInstant, rng: &mut impl Rng) -> Vec<RefusedWaiter<T>> {
        let mut doomed = Vec::new();
        self.examined_for = self.service_time;
        let mut kept = 0;
        let mut ahead = 0;
        for (place, entry) in &self.queue {
            if kept >= self.queue_limit || self.is_hopeless(now, entry.give_up_at, ahead) {
                doomed.push(*place);
            } else {
                kept += 1;
                ahead += entry.expected.as_micros();
            }
        }
        let mut refused = Vec::with_capacity(doomed.len());
        for place in doomed {
            let retry_at = self.retry_at(now, rng);
            if let Some(entry) = self.queue.remove(&place) {
                let item = entry.item;
                refused.push(RefusedWaiter { item, retry_at });
            }
        }
        refused
    }

    fn refuse(&self, now: ClockInstant, rng: &mut impl Rng) -> GateVerdict {
        GateVerdict::Refuse {
            retry_at: self.retry_at(now, rng),
        }
    }

    /// Returns whether a request behind `ahead` microseconds of other work would start too late.
    fn is_hopeless(&self, now: ClockInstant, give_up_at: ClockInstant, ahead: u64) -> bool {
        now.after(TimeBudget::from_micros(self.wait_micros(ahead))) > give_up_at
    }

    /// Returns the time until a slot is free behind `ahead` microseconds of work in the queue.
    fn wait_micros(&self, ahead: u64) -> u64 {
        let limit = u64::from(self.limit.max(1));
        ahead.saturating_add(self.service_time.as_micros()) / limit
    }

    /// Returns the time that a request is expected to take.
    fn expected(&self, route: Option<&RouteName>) -> TimeBudget {
        let known = route.and_then(|route| self.route_times.get(route));
        known.map_or(self.service_time, |learned| learned.time)
    }

    /// Returns whether a request that starts now is likely answered after its answer is wanted.
    fn is_late(&self, now: ClockInstant, offer: &SlotOffer, expected: TimeBudget) -> bool {
        let wanted_by = offer.wanted_by;
        let is_past = wanted_by.is_some_and(|instant| now > instant.before(long_work(expected)));
        is_past && !self.is_short(expected)
    }

    /// Returns whether work is so short that refusing it frees almost nothing for others.
    fn is_short(&self, expected: TimeBudget) -> bool {
        expected.as_micros() * SHORT_WORK_DIVISOR <= self.service_time.as_micros()
    }

    /// Returns when a request that arrives now has waited as long as it may.
    ///
    /// That is in time for its answer to be wanted still, or for a quarter of the time that it has
    /// left where nobody says when that is. Work that is short beside the rest waits to the end.
    fn give_up_at(
        &self,
        now: ClockInstant,
        offer: &SlotOffer,
        expected: TimeBudget,
    ) -> ClockInstant {
        let latest_start = offer.deadline.before(expected);
        let Some(wanted_by) = offer.wanted_by else {
            let longest = offer.deadline.remaining(now).as_micros() / WAIT_DIVISOR;
            return latest_start.min(now.after(TimeBudget::from_micros(longest)));
        };
        if self.is_short(expected) {
            return latest_start;
        }
        let wanted_start = wanted_by.before(long_work(expected));
        latest_start.min(wanted_start.max(now.after(SHORT_WAIT)))
    }

    /// Returns when the present queue will have shrunk by half or more, spread so that retries do
    /// not coincide.
    ///
    /// A caller that comes back soon can still be answered while the answer is worth the most; what
    /// runs now need not have ended by then, since slots free up all the while.
    fn retry_at(&self, now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        let queued = self.queue.values().map(|entry| entry.expected.as_micros());
        let drain = self.wait_micros(queued.sum());
        let base = (drain / 2).clamp(MIN_RETRY_MICROS, MAX_RETRY_MICROS);
        let spread = rng.random_range(0..=base);
        now.after(TimeBudget::from_micros(base + spread))
    }

    fn learn(&mut self, took: TimeBudget) {
        if !self.has_learned {
            self.has_learned = true;
            self.service_time = took;
            return;
        }
        self.service_time = blend(self.service_time, took);
    }
}

/// Returns the time that work takes when it takes longer than usual.
fn long_work(expected: TimeBudget) -> TimeBudget {
    TimeBudget::from_micros(expected.as_micros() * LONG_WORK_EIGHTHS / 8)
}

/// Returns a moving average after one more time.
fn blend(held: TimeBudget, took: TimeBudget) -> TimeBudget {
    let sum = held.as_micros() * (SERVICE_TIME_WEIGHT - 1) + took.as_micros();
    TimeBudget::from_micros(sum / SERVICE_TIME_WEIGHT)
}
