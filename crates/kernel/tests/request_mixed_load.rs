//! Short calls and long requests on an overloaded server.
//!
//! Simulates one server with six slots. Long requests (280 ms, soft deadline 600 ms) arrive a third
//! faster than they can run. In addition, there are calls of 22 ms on which running requests of
//! other servers depend.

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

struct Simulation {
    queue: AdmissionQueue<Job>,
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
    name.parse().expect("name is valid")
}

impl Simulation {
    fn arrive(&mut self, now: u64, is_call: bool) {
        let mean = if is_call { 22.0 } else { 280.0 };
        let work = mean * self.rng.random_range(0.5..1.5);
        let job = Job {
            arrived: now,
            is_call,
            work: work as u64,
        };
        let (timeout, soft_deadline) = if is_call { (250, 100) } else { (2_000, 600) };
        let request = AdmissionRequest {
            priority: if is_call {
                RequestPriority::NORMAL
            } else {
                RequestPriority::DEFERRABLE
            },
            deadline: at(now + timeout),
            soft_deadline: Some(at(now + soft_deadline)),
            account: None,
            route: Some(route(is_call)),
            is_call: false,
        };
        self.tally(is_call).arrived += 1;
        let (decision, _) = self
            .queue
            .submit_request(at(now), &request, job, &mut self.rng);
        if decision == AdmissionDecision::Run {
            self.start(now, job);
        }
    }

    fn start(&mut self, now: u64, job: Job) {
        self.running.push(Reverse((now + job.work, job)));
    }

    fn end(&mut self, now: u64, job: Job) {
        // A call is useful until its caller times out, a long request until its soft deadline.
        let max_latency = if job.is_call { 250 } else { 600 };
        let tally = self.tally(job.is_call);
        tally.served += 1;
        tally.busy += job.work;
        tally.in_time += usize::from(now - job.arrived <= max_latency);
        let took = TimeBudget::from_millis(job.work);
        self.queue.record_route_time(&route(job.is_call), took);
        let AdmissionUpdate { started, .. } =
            self.queue.release(at(now), Some(took), &mut self.rng);
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

fn simulate(seed: u64) -> Simulation {
    let mut simulation = Simulation {
        queue: AdmissionQueue::new(SlotCount::new(SLOTS), QUEUE),
        running: BinaryHeap::new(),
        rng: SmallRng::seed_from_u64(seed),
        calls: Tally::default(),
        long: Tally::default(),
    };
    for now in 0..SECONDS * 1_000 {
        while let Some(Reverse((end, job))) = simulation.running.peek().copied()
            && end <= now
        {
            simulation.running.pop();
            simulation.end(now, job);
        }
        if simulation.rng.random_bool(CALLS_PER_SECOND / 1_000.0) {
            simulation.arrive(now, true);
        }
        if simulation.rng.random_bool(LONG_PER_SECOND / 1_000.0) {
            simulation.arrive(now, false);
        }
    }
    simulation
}

#[test]
fn calls_are_served_beside_long_requests_on_a_full_server() {
    for seed in 0..5 {
        let Simulation { calls, long, .. } = simulate(seed);
        let share = |part: usize, whole: usize| part as f64 / whole as f64;
        let busy = (calls.busy + long.busy) as f64 / (SECONDS * 1_000 * u64::from(SLOTS)) as f64;
        // If a call is refused, the whole request that depends on it fails.
        let served = share(calls.in_time, calls.arrived);
        assert!(served >= 0.95, "seed {seed}: calls served in time {served}");
        // A late response has less value and has used the slot of one that could have been in time.
        let in_time = share(long.in_time, long.served);
        assert!(
            in_time >= 0.9,
            "seed {seed}: long responses in time {in_time}"
        );
        assert!(busy >= 0.95, "seed {seed}: slots in use {busy}");
    }
}
