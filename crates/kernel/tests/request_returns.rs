//! Callers that come back after a refusal, on a server with too many of them.

use std::{cmp::Reverse, collections::BinaryHeap};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
    request::{
        AdmissionDecision, AdmissionQueue, AdmissionRequest, CallerWaitEstimator, RefusedRequest,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SECONDS: u64 = 60;

/// One server and the callers that want it.
#[derive(Clone, Copy)]
struct LoadCase {
    slots: u32,
    callers_per_second: f64,
    /// Average time of a request in its slot.
    work_ms: f64,
    /// Time after a caller's first attempt within which it wants the answer.
    wanted_ms: u64,
    timeout_ms: u64,
    patience_ms: u64,
    /// How often a refused caller comes back.
    returns: u32,
}

/// 1.7 times the capacity of a server with twelve slots.
const CROWDED: LoadCase = LoadCase {
    slots: 12,
    callers_per_second: 170.0,
    work_ms: 120.0,
    wanted_ms: 400,
    timeout_ms: 800,
    patience_ms: 1_500,
    returns: 1,
};

/// 2.7 times the capacity of a server with six slots, whose work takes half of the time in which it
/// is wanted: what is left of a service when two of its three servers are taken away.
const SWAMPED: LoadCase = LoadCase {
    slots: 6,
    callers_per_second: 110.0,
    work_ms: 150.0,
    wanted_ms: 300,
    timeout_ms: 1_200,
    patience_ms: 2_000,
    returns: 2,
};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    came: u64,
    returns: u32,
    work: u64,
}

struct Play {
    case: LoadCase,
    gate: AdmissionQueue<Caller>,
    patience: CallerWaitEstimator,
    counts_waits: bool,
    running: BinaryHeap<Reverse<(u64, Caller)>>,
    returning: BinaryHeap<Reverse<(u64, Caller)>>,
    rng: SmallRng,
    in_time: usize,
    late: usize,
}

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn route() -> RouteName {
    "view".parse().expect("is a name")
}

impl Play {
    fn arrive(&mut self, now: u64, caller: Caller) {
        let left = TimeBudget::from_millis(self.case.patience_ms.saturating_sub(now - caller.came));
        let waited = self.patience.elapsed_wait(&route(), left);
        let waited = if self.counts_waits {
            waited
        } else {
            TimeBudget::ZERO
        };
        let offer = AdmissionRequest {
            priority: RequestPriority::NORMAL,
            deadline: at(now + self.case.timeout_ms),
            soft_deadline: Some(at(now + self.case.wanted_ms).before(waited)),
            route: Some(route()),
        };
        let (verdict, refused) = self
            .gate
            .submit_request(at(now), &offer, caller, &mut self.rng);
        match verdict {
            AdmissionDecision::Run => self.start(now, caller),
            AdmissionDecision::Refuse { retry_at } => self.send_back(caller, retry_at),
            AdmissionDecision::Wait { .. } => {}
        }
        self.send_all_back(refused);
    }

    fn start(&mut self, now: u64, caller: Caller) {
        self.running.push(Reverse((now + caller.work, caller)));
    }

    fn send_all_back(&mut self, refused: Vec<RefusedRequest<Caller>>) {
        for waiter in refused {
            self.send_back(waiter.item, waiter.retry_at);
        }
    }

    fn send_back(&mut self, caller: Caller, retry_at: ClockInstant) {
        if caller.returns < self.case.returns {
            let back = Caller {
                returns: caller.returns + 1,
                ..caller
            };
            self.returning
                .push(Reverse((retry_at.as_millis() + 8, back)));
        }
    }

    fn end(&mut self, now: u64, caller: Caller) {
        if now - caller.came <= self.case.wanted_ms {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        let took = TimeBudget::from_millis(caller.work);
        self.gate.record_route_time(&route(), took);
        let change = self.gate.release(at(now), Some(took), &mut self.rng);
        for caller in change.started {
            self.start(now, caller);
        }
        self.send_all_back(change.refused);
    }
}

fn play(case: LoadCase, seed: u64, counts_waits: bool) -> Play {
    let mut play = Play {
        case,
        gate: AdmissionQueue::new(SlotCount::new(case.slots), 2 * case.slots as usize),
        patience: CallerWaitEstimator::default(),
        counts_waits,
        running: BinaryHeap::new(),
        returning: BinaryHeap::new(),
        rng: SmallRng::seed_from_u64(seed),
        in_time: 0,
        late: 0,
    };
    for now in 0..SECONDS * 1_000 {
        while let Some(Reverse((end, caller))) = play.running.peek().copied()
            && end <= now
        {
            play.running.pop();
            play.end(now, caller);
        }
        while let Some(Reverse((back, caller))) = play.returning.peek().copied()
            && back <= now
        {
            play.returning.pop();
            play.arrive(now, caller);
        }
        if play.rng.random_bool(case.callers_per_second / 1_000.0) {
            let work = case.work_ms * play.rng.random_range(0.4..1.6);
            let caller = Caller {
                came: now,
                returns: 0,
                work: work as u64,
            };
            play.arrive(now, caller);
        }
    }
    play
}

#[test]
fn more_callers_are_answered_in_time_when_earlier_attempts_count() {
    for seed in 0..5 {
        let (without, with) = (play(CROWDED, seed, false), play(CROWDED, seed, true));
        assert!(
            with.in_time > without.in_time,
            "seed {seed}: {} in time and {} late against {} and {}",
            with.in_time,
            with.late,
            without.in_time,
            without.late
        );
        // Callers that are served are served in time, by the latency that they are promised.
        let share = with.in_time as f64 / (with.in_time + with.late) as f64;
        assert!(share >= 0.9, "seed {seed}: {share} of the answers in time");
    }
}

#[test]
fn slots_go_to_callers_that_can_be_answered_in_time_before_those_that_cannot() {
    for seed in 0..5 {
        let (without, with) = (play(SWAMPED, seed, false), play(SWAMPED, seed, true));
        assert!(
            2 * with.in_time >= 3 * without.in_time,
            "seed {seed}: {} in time and {} late against {} and {}",
            with.in_time,
            with.late,
            without.in_time,
            without.late
        );
        let answered = (with.in_time + with.late) as f64;
        let capacity = f64::from(SWAMPED.slots) * SECONDS as f64 * 1_000.0 / SWAMPED.work_ms;
        let used = answered / capacity;
        assert!(used >= 0.95, "seed {seed}: {used} of the capacity was used");
    }
}

#[test]
fn first_caller_and_the_most_patient_have_not_waited() {
    let mut patience = CallerWaitEstimator::default();
    let millis = TimeBudget::from_millis;
    assert_eq!(
        patience.elapsed_wait(&route(), millis(1_200)),
        TimeBudget::ZERO
    );
    assert_eq!(
        patience.elapsed_wait(&route(), millis(1_500)),
        TimeBudget::ZERO
    );
    assert_eq!(patience.elapsed_wait(&route(), millis(1_100)), millis(400));
    let other = "other".parse().expect("is a name");
    assert_eq!(patience.elapsed_wait(&other, millis(300)), TimeBudget::ZERO);
}
