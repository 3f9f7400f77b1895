//! Goodput of one server's admission queue under several times its capacity.

use std::collections::{BTreeMap, BinaryHeap};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::SlotCount,
    request::{AdmissionDecision, AdmissionQueue},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: u32 = 12;
const QUEUE: usize = 24;
const SERVICE_MICROS: u64 = 10_000;
const DEADLINE: TimeBudget = TimeBudget::from_millis(100);
const RUN_MICROS: u64 = 5_000_000;

#[derive(Clone, Copy, Debug)]
struct Work {
    priority: RequestPriority,
    deadline: ClockInstant,
}

#[derive(Default)]
struct Tally {
    offered: u32,
    useful: u32,
    refused: u32,
    late: u32,
}

struct Simulation {
    queue: AdmissionQueue<Work>,
    /// End, priority and deadline of running requests, earliest end first.
    ends: BinaryHeap<(std::cmp::Reverse<u64>, RequestPriority, u64)>,
    tallies: BTreeMap<RequestPriority, Tally>,
    rng: SmallRng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            queue: AdmissionQueue::new(SlotCount::new(SLOTS), QUEUE),
            ends: BinaryHeap::new(),
            tallies: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, load: f64) {
        let mean_gap_micros = SERVICE_MICROS as f64 / f64::from(SLOTS) / load;
        let mut next = 0.0;
        while (next as u64) < RUN_MICROS {
            next += -mean_gap_micros * self.rng.random_range(f64::EPSILON..1.0).ln();
            self.finish_until(next as u64);
            self.arrive(next as u64);
        }
        self.finish_until(u64::MAX);
    }

    fn arrive(&mut self, micros: u64) {
        let now = ClockInstant::from_micros(micros);
        let priority = match self.rng.random_range(0..10) {
            0 => RequestPriority::URGENT,
            1..4 => RequestPriority::NORMAL,
            _ => RequestPriority::DEFERRABLE,
        };
        let work = Work {
            priority,
            deadline: now.after(DEADLINE),
        };
        self.tally(priority).offered += 1;
        let (decision, refused) =
            self.queue
                .submit(now, priority, work.deadline, work, &mut self.rng);
        for refused_request in refused {
            self.tally(refused_request.item.priority).refused += 1;
        }
        match decision {
            AdmissionDecision::Run => self.start(micros, work),
            AdmissionDecision::Wait { .. } => {}
            AdmissionDecision::Refuse { retry_at } => {
                assert!(retry_at > now);
                self.tally(priority).refused += 1;
            }
        }
    }

    fn start(&mut self, micros: u64, work: Work) {
        let took = self
            .rng
            .random_range(SERVICE_MICROS / 2..SERVICE_MICROS * 3 / 2);
        let end = std::cmp::Reverse(micros + took);
        self.ends
            .push((end, work.priority, work.deadline.as_micros()));
    }

    fn finish_until(&mut self, micros: u64) {
        while let Some((end, priority, deadline)) = self.ends.peek().copied() {
            let end = end.0;
            if end > micros {
                return;
            }
            self.ends.pop();
            let is_useful = end <= deadline;
            let tally = self.tally(priority);
            tally.useful += u32::from(is_useful);
            tally.late += u32::from(!is_useful);
            let now = ClockInstant::from_micros(end);
            let took = TimeBudget::from_micros(SERVICE_MICROS);
            let update = self.queue.release(now, Some(took), &mut self.rng);
            for refused_request in update.refused {
                self.tally(refused_request.item.priority).refused += 1;
            }
            for work in update.started {
                self.start(end, work);
            }
        }
    }

    fn tally(&mut self, priority: RequestPriority) -> &mut Tally {
        self.tallies.entry(priority).or_default()
    }

    fn goodput_share(&mut self, priority: RequestPriority) -> f64 {
        let tally = self.tally(priority);
        f64::from(tally.useful) / f64::from(tally.offered)
    }
}

#[test]
fn load_of_five_times_the_capacity_keeps_goodput_and_prefers_urgent_requests() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed);
        simulation.run(5.0);
        let useful: u32 = simulation.tallies.values().map(|tally| tally.useful).sum();
        let capacity = RUN_MICROS as f64 / SERVICE_MICROS as f64 * f64::from(SLOTS);
        assert!(
            f64::from(useful) > 0.9 * capacity,
            "seed {seed}: {useful} of {capacity}"
        );
        let urgent = simulation.goodput_share(RequestPriority::URGENT);
        let normal = simulation.goodput_share(RequestPriority::NORMAL);
        let deferrable = simulation.goodput_share(RequestPriority::DEFERRABLE);
        assert!(urgent > 0.99, "seed {seed}: {urgent} of the urgent");
        assert!(
            normal > 4.0 * deferrable,
            "seed {seed}: {normal} and {deferrable}"
        );
    }
}

#[test]
fn load_of_half_the_capacity_causes_no_refusals() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed);
        simulation.run(0.5);
        for tally in simulation.tallies.values() {
            assert_eq!(tally.refused + tally.late, 0, "seed {seed}");
        }
    }
}
