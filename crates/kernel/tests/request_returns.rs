//! Callers that come back after a refusal, on a server with too many of them.
//!
//! Plays one server with twelve slots at 1.7 times its capacity: requests take 120 ms on average,
//! are wanted within 400 ms of the caller's first attempt, and each refused caller comes back once.

use std::{cmp::Reverse, collections::BinaryHeap};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
    request::{CallerPatience, GateVerdict, RefusedWaiter, SlotGate, SlotOffer},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: u32 = 12;
const QUEUE: usize = 24;
const SECONDS: u64 = 60;
const CALLERS_PER_SECOND: f64 = 170.0;
const WANTED_MS: u64 = 400;
const TIMEOUT_MS: u64 = 800;
const PATIENCE_MS: u64 = 1_500;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    came: u64,
    has_returned: bool,
    work: u64,
}

struct Play {
    gate: SlotGate<Caller>,
    patience: CallerPatience,
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
        let left = TimeBudget::from_millis(PATIENCE_MS - (now - caller.came));
        let waited = self.patience.note(&route(), left);
        let waited = if self.counts_waits {
            waited
        } else {
            TimeBudget::ZERO
        };
        let offer = SlotOffer {
            priority: RequestPriority::NORMAL,
            deadline: at(now + TIMEOUT_MS),
            wanted_by: Some(at(now + WANTED_MS).before(waited)),
            route: Some(route()),
        };
        let (verdict, refused) = self.gate.offer_work(at(now), &offer, caller, &mut self.rng);
        match verdict {
            GateVerdict::Run => self.start(now, caller),
            GateVerdict::Refuse { retry_at } => self.send_back(caller, retry_at),
            GateVerdict::Wait { .. } => {}
        }
        self.send_all_back(refused);
    }

    fn start(&mut self, now: u64, caller: Caller) {
        self.running.push(Reverse((now + caller.work, caller)));
    }

    fn send_all_back(&mut self, refused: Vec<RefusedWaiter<Caller>>) {
        for waiter in refused {
            self.send_back(waiter.item, waiter.retry_at);
        }
    }

    fn send_back(&mut self, caller: Caller, retry_at: ClockInstant) {
        if !caller.has_returned {
            let back = Caller {
                has_returned: true,
                ..caller
            };
            self.returning
                .push(Reverse((retry_at.as_millis() + 8, back)));
        }
    }

    fn end(&mut self, now: u64, caller: Caller) {
        if now - caller.came <= WANTED_MS {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        let took = TimeBudget::from_millis(caller.work);
        self.gate.learn_route(&route(), took);
        let change = self.gate.release(at(now), Some(took), &mut self.rng);
        for caller in change.started {
            self.start(now, caller);
        }
        self.send_all_back(change.refused);
    }
}

fn play(seed: u64, counts_waits: bool) -> Play {
    let mut play = Play {
        gate: SlotGate::new(SlotCount::new(SLOTS), QUEUE),
        patience: CallerPatience::default(),
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
        if play.rng.random_bool(CALLERS_PER_SECOND / 1_000.0) {
            let work = 120.0 * play.rng.random_range(0.4..1.6);
            let caller = Caller {
                came: now,
                has_returned: false,
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
        let (without, with) = (play(seed, false), play(seed, true));
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
fn first_caller_and_the_most_patient_have_not_waited() {
    let mut patience = CallerPatience::default();
    let millis = TimeBudget::from_millis;
    assert_eq!(patience.note(&route(), millis(1_200)), TimeBudget::ZERO);
    assert_eq!(patience.note(&route(), millis(1_500)), TimeBudget::ZERO);
    assert_eq!(patience.note(&route(), millis(1_100)), millis(400));
    let other = "other".parse().expect("is a name");
    assert_eq!(patience.note(&other, millis(300)), TimeBudget::ZERO);
}
