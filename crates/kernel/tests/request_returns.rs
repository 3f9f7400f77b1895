//! Callers that retry after a refusal, on an overloaded server.

use std::{cmp::Reverse, collections::BinaryHeap};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
    request::{AdmissionDecision, AdmissionQueue, AdmissionRequest, RefusedRequest, WaitEstimator},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SECONDS: u64 = 60;

/// Load on one server.
#[derive(Clone, Copy)]
struct LoadCase {
    slots: u32,
    callers_per_second: f64,
    /// Mean service time of a request.
    work_ms: f64,
    /// Soft deadline, counted from a caller's first attempt.
    soft_deadline_ms: u64,
    /// Timeout of one attempt.
    timeout_ms: u64,
    /// Total timeout that a caller announces at its first attempt.
    total_timeout_ms: u64,
    /// Number of times that a refused caller retries.
    retries: u32,
}

/// 1.7 times the capacity of a server with twelve slots.
const OVERLOAD: LoadCase = LoadCase {
    slots: 12,
    callers_per_second: 170.0,
    work_ms: 120.0,
    soft_deadline_ms: 400,
    timeout_ms: 800,
    total_timeout_ms: 1_500,
    retries: 1,
};

/// 2.7 times the capacity of a server with six slots, whose requests take half of their soft
/// deadline. This is the load on the remaining server after two of three have been removed.
const SEVERE_OVERLOAD: LoadCase = LoadCase {
    slots: 6,
    callers_per_second: 110.0,
    work_ms: 150.0,
    soft_deadline_ms: 300,
    timeout_ms: 1_200,
    total_timeout_ms: 2_000,
    retries: 2,
};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    first_attempt_at: u64,
    retries: u32,
    work: u64,
}

struct Simulation {
    case: LoadCase,
    queue: AdmissionQueue<Caller>,
    estimator: WaitEstimator,
    uses_elapsed_wait: bool,
    running: BinaryHeap<Reverse<(u64, Caller)>>,
    retrying: BinaryHeap<Reverse<(u64, Caller)>>,
    rng: SmallRng,
    in_time: usize,
    late: usize,
}

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn route() -> RouteName {
    "view".parse().expect("name is valid")
}

impl Simulation {
    fn arrive(&mut self, now: u64, caller: Caller) {
        let left = TimeBudget::from_millis(
            self.case
                .total_timeout_ms
                .saturating_sub(now - caller.first_attempt_at),
        );
        let elapsed_wait = self.estimator.record_timeout(&route(), left);
        let elapsed_wait = if self.uses_elapsed_wait {
            elapsed_wait
        } else {
            TimeBudget::ZERO
        };
        let request = AdmissionRequest {
            priority: RequestPriority::NORMAL,
            deadline: at(now + self.case.timeout_ms),
            soft_deadline: Some(at(now + self.case.soft_deadline_ms).before(elapsed_wait)),
            account: None,
            route: Some(route()),
            is_call: false,
        };
        let (decision, refused) =
            self.queue
                .submit_request(at(now), &request, caller, &mut self.rng);
        match decision {
            AdmissionDecision::Run => self.start(now, caller),
            AdmissionDecision::Refuse { retry_at } => self.schedule_retry(caller, retry_at),
            AdmissionDecision::Wait { .. } => {}
        }
        self.schedule_retries(refused);
    }

    fn start(&mut self, now: u64, caller: Caller) {
        self.running.push(Reverse((now + caller.work, caller)));
    }

    fn schedule_retries(&mut self, refused: Vec<RefusedRequest<Caller>>) {
        for refused_request in refused {
            self.schedule_retry(refused_request.item, refused_request.retry_at);
        }
    }

    fn schedule_retry(&mut self, caller: Caller, retry_at: ClockInstant) {
        if caller.retries < self.case.retries {
            let retry = Caller {
                retries: caller.retries + 1,
                ..caller
            };
            // The retry reaches the server some milliseconds after `retry_at`.
            self.retrying
                .push(Reverse((retry_at.as_millis() + 8, retry)));
        }
    }

    fn end(&mut self, now: u64, caller: Caller) {
        if now - caller.first_attempt_at <= self.case.soft_deadline_ms {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        let took = TimeBudget::from_millis(caller.work);
        self.queue.record_route_time(&route(), took);
        let update = self.queue.release(at(now), Some(took), &mut self.rng);
        for caller in update.started {
            self.start(now, caller);
        }
        self.schedule_retries(update.refused);
    }
}

fn simulate(case: LoadCase, seed: u64, uses_elapsed_wait: bool) -> Simulation {
    let mut simulation = Simulation {
        case,
        queue: AdmissionQueue::new(SlotCount::new(case.slots), 2 * case.slots as usize),
        estimator: WaitEstimator::default(),
        uses_elapsed_wait,
        running: BinaryHeap::new(),
        retrying: BinaryHeap::new(),
        rng: SmallRng::seed_from_u64(seed),
        in_time: 0,
        late: 0,
    };
    for now in 0..SECONDS * 1_000 {
        while let Some(Reverse((end, caller))) = simulation.running.peek().copied()
            && end <= now
        {
            simulation.running.pop();
            simulation.end(now, caller);
        }
        while let Some(Reverse((retry_at, caller))) = simulation.retrying.peek().copied()
            && retry_at <= now
        {
            simulation.retrying.pop();
            simulation.arrive(now, caller);
        }
        if simulation
            .rng
            .random_bool(case.callers_per_second / 1_000.0)
        {
            let work = case.work_ms * simulation.rng.random_range(0.4..1.6);
            let caller = Caller {
                first_attempt_at: now,
                retries: 0,
                work: work as u64,
            };
            simulation.arrive(now, caller);
        }
    }
    simulation
}

#[test]
fn more_callers_are_answered_in_time_when_earlier_attempts_count() {
    for seed in 0..5 {
        let (without, with) = (
            simulate(OVERLOAD, seed, false),
            simulate(OVERLOAD, seed, true),
        );
        assert!(
            with.in_time > without.in_time,
            "seed {seed}: {} in time and {} late against {} and {}",
            with.in_time,
            with.late,
            without.in_time,
            without.late
        );
        // Most responses arrive before the soft deadline.
        let share = with.in_time as f64 / (with.in_time + with.late) as f64;
        assert!(
            share >= 0.9,
            "seed {seed}: {share} of the responses in time"
        );
    }
}

#[test]
fn slots_go_to_callers_that_can_be_answered_in_time_before_those_that_cannot() {
    for seed in 0..5 {
        let (without, with) = (
            simulate(SEVERE_OVERLOAD, seed, false),
            simulate(SEVERE_OVERLOAD, seed, true),
        );
        assert!(
            2 * with.in_time >= 3 * without.in_time,
            "seed {seed}: {} in time and {} late against {} and {}",
            with.in_time,
            with.late,
            without.in_time,
            without.late
        );
        let answered = (with.in_time + with.late) as f64;
        let capacity =
            f64::from(SEVERE_OVERLOAD.slots) * SECONDS as f64 * 1_000.0 / SEVERE_OVERLOAD.work_ms;
        let used = answered / capacity;
        assert!(used >= 0.95, "seed {seed}: {used} of the capacity was used");
    }
}

#[test]
fn first_caller_and_the_longest_timeout_have_no_elapsed_wait() {
    let mut estimator = WaitEstimator::default();
    let millis = TimeBudget::from_millis;
    assert_eq!(
        estimator.record_timeout(&route(), millis(1_200)),
        TimeBudget::ZERO
    );
    assert_eq!(
        estimator.record_timeout(&route(), millis(1_500)),
        TimeBudget::ZERO
    );
    assert_eq!(
        estimator.record_timeout(&route(), millis(1_100)),
        millis(400)
    );
    let other = "other".parse().expect("name is valid");
    assert_eq!(
        estimator.record_timeout(&other, millis(300)),
        TimeBudget::ZERO
    );
}
