use std::collections::BTreeMap;

use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::SlotCount,
};

const FIRST_SERVICE_TIME: TimeBudget = TimeBudget::from_millis(5);
const SERVICE_TIME_WEIGHT: u64 = 8;
const EXAMINE_DIVISOR: u64 = 8;
const WAIT_DIVISOR: u64 = 4;
const MIN_RETRY_MICROS: u64 = 5_000;
const MAX_RETRY_MICROS: u64 = 5_000_000;

/// Place of a waiting request in a [`SlotGate`]'s queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePlace {
    priority: RequestPriority,
    deadline: ClockInstant,
    sequence: u64,
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
}

/// A limit on requests that run at once, with a bounded queue before it.
///
/// The queue is ordered by priority, then by deadline. A request that cannot make its deadline,
/// by the measured service time and the requests before it, is refused at once with the instant
/// at which room is expected. No request waits longer than a quarter of the time that it had left
/// on arrival, so that its caller can still turn elsewhere. When the queue is full, a more urgent arrival displaces the last
/// one in the queue.
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
        if deadline.has_passed(now) {
            return (self.refuse(now, rng), Vec::new());
        }
        if self.running < self.limit && self.queue.is_empty() {
            self.running += 1;
            return (GateVerdict::Run, Vec::new());
        }
        let place = QueuePlace {
            priority,
            deadline,
            sequence: self.next_sequence,
        };
        let is_last = self
            .queue
            .last_key_value()
            .is_none_or(|(last, _)| place > *last);
        let is_full = self.queue.len() >= self.queue_limit;
        let ahead = self.queue.range(..place).count();
        let give_up_at = self.give_up_at(now, deadline);
        if (is_full && is_last) || self.is_hopeless(now, give_up_at, ahead) {
            return (self.refuse(now, rng), Vec::new());
        }
        self.next_sequence += 1;
        self.queue.insert(place, WaitEntry { item, give_up_at });
        let refused = self.displace(now, rng);
        (GateVerdict::Wait { place, give_up_at }, refused)
    }

    /// Withdraws a waiting request; returns its item, or `None` when it no longer waits.
    pub fn withdraw(&mut self, place: QueuePlace) -> Option<T> {
        self.queue.remove(&place).map(|entry| entry.item)
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
        for (place, entry) in &self.queue {
            if kept >= self.queue_limit || self.is_hopeless(now, entry.give_up_at, kept) {
                doomed.push(*place);
            } else {
                kept += 1;
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

    /// Returns whether a request behind `ahead` others would start too late.
    fn is_hopeless(&self, now: ClockInstant, give_up_at: ClockInstant, ahead: usize) -> bool {
        let wait = self.wait_micros(ahead as u64 + 1);
        now.after(TimeBudget::from_micros(wait)) > give_up_at
    }

    fn wait_micros(&self, requests: u64) -> u64 {
        let limit = u64::from(self.limit.max(1));
        requests.saturating_mul(self.service_time.as_micros()) / limit
    }

    /// Returns when a request that arrives now has waited as long as it may.
    fn give_up_at(&self, now: ClockInstant, deadline: ClockInstant) -> ClockInstant {
        let longest = deadline.left(now).as_micros() / WAIT_DIVISOR;
        let latest_start = deadline.before(self.service_time);
        latest_start.min(now.after(TimeBudget::from_micros(longest)))
    }

    /// Returns when the present queue will have drained, spread so that retries do not coincide.
    fn retry_at(&self, now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        let drain = self.wait_micros(self.queue.len() as u64 + u64::from(self.running));
        let base = drain.clamp(MIN_RETRY_MICROS, MAX_RETRY_MICROS);
        let spread = rng.random_range(0..=base);
        now.after(TimeBudget::from_micros(base + spread))
    }

    fn learn(&mut self, took: TimeBudget) {
        if !self.has_learned {
            self.has_learned = true;
            self.service_time = took;
            return;
        }
        let held = self.service_time.as_micros() * (SERVICE_TIME_WEIGHT - 1);
        let micros = (held + took.as_micros()) / SERVICE_TIME_WEIGHT;
        self.service_time = TimeBudget::from_micros(micros);
    }
}
