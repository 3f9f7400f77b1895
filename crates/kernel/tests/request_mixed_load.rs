//! Load of short calls beside long requests on servers that are full.
//!
//! Plays one server with six slots: long requests (280 ms, wanted within 600 ms) arrive a third
//! faster than they can run, and calls of 22 ms that other servers' running requests wait for come
//! beside them.

use std::{cmp::Reverse, collections::BinaryHeap};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{RouteName, SlotCount},
    request::{AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionUpdate},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: u32 = 6;
const QUEUE: usize = 12;
const SECONDS: u64 = 60;
const CALLS_PER_SECOND: f64 = 30.0;
const LONG_PER_SECOND: f64 = 27.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    arrived: u64,
    is_call: bool,
    work: u64,
}

#[derive(Default)]
struct Tally {
    arrived: usize,
    served: usize,
    in_time: usize,
    busy: u64,
}

struct Play {
    gate: AdmissionQueue<Job>,
    running: BinaryHeap<Reverse<(u64, Job)>>,
    rng: SmallRng,
    calls: Tally,
    long: Tally,
}

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn route(is_call: bool) -> RouteName {
    let name = if is_call { "lookup" } else { "history" };
    name.parse().expect("is a name")
}

impl Play {
    fn arrive(&mut self, now: u64, is_call: bool) {
        let mean = if is_call { 22.0 } else { 280.0 };
        let work = mean * self.rng.random_range(0.5..1.5);
        let job = Job {
            arrived: now,
            is_call,
            work: work as u64,
        };
        let (timeout, wanted) = if is_call { (250, 100) } else { (2_000, 600) };
        let offer = AdmissionRequest {
            priority: if is_call {
                RequestPriority::NORMAL
            } else {
                RequestPriority::DEFERRABLE
            },
            deadline: at(now + timeout),
            soft_deadline: Some(at(now + wanted)),
            route: Some(route(is_call)),
        };
        self.tally(is_call).arrived += 1;
        let (verdict, _) = self
            .gate
            .submit_request(at(now), &offer, job, &mut self.rng);
        if verdict == AdmissionDecision::Run {
            self.start(now, job);
        }
    }

    fn start(&mut self, now: u64, job: Job) {
        self.running.push(Reverse((now + job.work, job)));
    }

    fn end(&mut self, now: u64, job: Job) {
        let wanted = if job.is_call { 250 } else { 600 };
        let tally = self.tally(job.is_call);
        tally.served += 1;
        tally.busy += job.work;
        tally.in_time += usize::from(now - job.arrived <= wanted);
        let took = TimeBudget::from_millis(job.work);
        self.gate.record_route_time(&route(job.is_call), took);
        let AdmissionUpdate { started, .. } = self.gate.release(at(now), Some(took), &mut self.rng);
        for job in started {
            self.start(now, job);
        }
    }

    fn tally(&mut self, is_call: bool) -> &mut Tally {
        if is_call {
            &mut self.calls
        } else {
            &mut self.long
        }
    }
}

fn play(seed: u64) -> Play {
    let mut play = Play {
        gate: AdmissionQueue::new(SlotCount::new(SLOTS), QUEUE),
        running: BinaryHeap::new(),
        rng: SmallRng::seed_from_u64(seed),
        calls: Tally::default(),
        long: Tally::default(),
    };
    for now in 0..SECONDS * 1_000 {
        while let Some(Reverse((end, job))) = play.running.peek().copied()
            && end <= now
        {
            play.running.pop();
            play.end(now, job);
        }
        if play.rng.random_bool(CALLS_PER_SECOND / 1_000.0) {
            play.arrive(now, true);
        }
        if play.rng.random_bool(LONG_PER_SECOND / 1_000.0) {
            play.arrive(now, false);
        }
    }
    play
}

#[test]
fn calls_are_served_beside_long_requests_on_a_full_server() {
    for seed in 0..5 {
        let Play { calls, long, .. } = play(seed);
        let share = |part: usize, whole: usize| part as f64 / whole as f64;
        let busy = (calls.busy + long.busy) as f64 / (SECONDS * 1_000 * u64::from(SLOTS)) as f64;
        // A run whose call is refused is lost whole.
        let served = share(calls.in_time, calls.arrived);
        assert!(served >= 0.95, "seed {seed}: calls served in time {served}");
        // An answer that is late is worth less and took the slot of one that is not.
        let in_time = share(long.in_time, long.served);
        assert!(
            in_time >= 0.9,
            "seed {seed}: long answers in time {in_time}"
        );
        assert!(busy >= 0.95, "seed {seed}: slots in use {busy}");
    }
}
