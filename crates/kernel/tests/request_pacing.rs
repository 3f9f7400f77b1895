//! Limits that a server states, with one queue beside it and any number of entry nodes.

use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{BackendName, RequestRate, ServiceName, SlotCount},
    member::StatedLimit,
    request::{AdmissionDecision, AdmissionQueue, LimitPublisher, LoadBalancer, RatePacer},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: SlotCount = SlotCount::new(6);
const QUEUE_LIMIT: usize = 12;
const SERVICE_MS: u64 = 60;
const STEP_MS: u64 = 2;
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
/// Time after which a node that passed on a statement is bound by it, by the users' rules.
const TOLD_MS: u64 = 500;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn limited(per_second: f64) -> StatedLimit {
    StatedLimit::Limited(RequestRate::from_millis((per_second * 1_000.0) as u64))
}

/// One server, the queue beside it and the entry nodes; items are `(entry node, instant sent)`.
struct PacedServer {
    rng: SmallRng,
    queue: AdmissionQueue<usize>,
    running: BTreeMap<(u64, usize), u64>,
    entries: Vec<LoadBalancer>,
    /// Since when each entry node has known a statement.
    told_at: Vec<Option<u64>>,
    /// Arrivals from nodes that are bound by the limit, in milliseconds.
    arrivals: Vec<u64>,
    refused: usize,
    service: ServiceName,
    backend: BackendName,
}

impl PacedServer {
    fn new(seed: u64, entries: usize) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            queue: AdmissionQueue::new(SLOTS, QUEUE_LIMIT),
            running: BTreeMap::new(),
            entries: vec![LoadBalancer::default(); entries],
            told_at: vec![None; entries],
            arrivals: Vec::new(),
            refused: 0,
            service: "tracker".parse().expect("is a name"),
            backend: "a".parse().expect("is a name"),
        }
    }

    /// Starts the node beside the server again; its requests are lost.
    fn restart_host(&mut self) {
        self.queue = AdmissionQueue::new(SLOTS, QUEUE_LIMIT);
        self.running.clear();
    }

    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = LoadBalancer::default();
        self.told_at[entry] = None;
    }

    fn send(&mut self, now: u64, entry: usize) {
        let limit = self.entries[entry].limit(&self.backend);
        let update = self.queue.adopt_limit(at(now), limit, &mut self.rng);
        self.start(now, update.started);
        let (priority, deadline) = (RequestPriority::NORMAL, at(now + 2_000));
        let (decision, refused) =
            self.queue
                .submit(at(now), priority, deadline, entry, &mut self.rng);
        self.refused += refused.len();
        match decision {
            AdmissionDecision::Run => self.start(now, [entry]),
            AdmissionDecision::Refuse { .. } => self.refused += 1,
            AdmissionDecision::Wait { .. } => {}
        }
    }

    fn start(&mut self, now: u64, entries: impl IntoIterator<Item = usize>) {
        for entry in entries {
            let is_bound = self.told_at[entry].is_some_and(|told| told + TOLD_MS <= now);
            if is_bound {
                self.arrivals.push(now);
            }
            let ends_at = now + SERVICE_MS + self.rng.random_range(0..SERVICE_MS / 2);
            let number = self.rng.random_range(0..usize::MAX / 1_000) * 1_000 + entry;
            self.running.insert((ends_at, number), now);
        }
    }

    /// Ends the requests that are due, whose responses state `limit`, and starts waiting ones.
    fn step(&mut self, now: u64, limit: StatedLimit) {
        while let Some((&(ends_at, number), &sent_at)) = self.running.first_key_value()
            && ends_at <= now
        {
            self.running.remove(&(ends_at, number));
            let (entry, sent_at) = (number % 1_000, at(sent_at));
            let statement = self
                .queue
                .record_statement(at(now), sent_at, limit, &mut self.rng);
            let took = Some(TimeBudget::from_millis(SERVICE_MS));
            let released = self.queue.release(at(now), took, &mut self.rng);
            self.start(now, statement.started.into_iter().chain(released.started));
            let known = self.queue.limit();
            self.entries[entry].record_limit(at(now), &self.service, &self.backend, known);
            if limit.rate().is_some() {
                self.told_at[entry].get_or_insert(now);
            }
        }
        let due = self.queue.start_due(at(now), &mut self.rng);
        self.start(now, due.started);
    }

    /// Checks the users' rule in every window from `from` on; `limit` gives the limit in force.
    fn check(&self, from: u64, limit: impl Fn(u64) -> f64, what: &str) {
        for start in self.arrivals.iter().copied().filter(|start| *start >= from) {
            let window = start..start + WINDOW_MS;
            let count = self
                .arrivals
                .iter()
                .filter(|millis| window.contains(millis))
                .count();
            let permitted: f64 = window.map(|millis| limit(millis) / 1_000.0).sum();
            let allowed = 1.5 * permitted + 5.0;
            assert!(
                count as f64 <= allowed,
                "{what}: {count} from {start} ms, {allowed} allowed"
            );
        }
    }
}

#[test]
fn limit_holds_for_any_number_of_entry_nodes_while_nodes_restart_or_freeze() {
    for (entries, seed) in [1, 2, 11, 74, 295].into_iter().zip(1..) {
        for rate in [0.0, 0.4, 1.0, 13.7, 40.0] {
            let mut server = PacedServer::new(seed, entries);
            let mut frozen = BTreeSet::new();
            let mut held_back = Vec::new();
            for now in (1_000..21_000).step_by(STEP_MS as usize) {
                server.step(now, limited(rate));
                if now % 1_500 == 0 {
                    server.restart_host();
                    server.restart_entry((now / 1_500) as usize % entries);
                }
                if now % 700 == 0 {
                    // The frozen nodes wake and send what arrived meanwhile.
                    frozen = BTreeSet::from([now as usize % entries]);
                    for entry in std::mem::take(&mut held_back) {
                        server.send(now, entry);
                    }
                }
                // Three times what the slots can serve.
                if server.rng.random_bool(0.4) {
                    let entry = server.rng.random_range(0..entries);
                    match frozen.contains(&entry) {
                        true => held_back.push(entry),
                        false => server.send(now, entry),
                    }
                }
            }
            server.check(
                1_000 + CONTACT_MS,
                |_| rate,
                &format!("{entries} nodes, {rate}/s"),
            );
        }
    }
}

#[test]
fn limit_that_changes_or_ends_is_followed_and_used() {
    let limit_at = |millis: u64| match millis {
        0..9_000 => 20.0,
        9_000..17_000 => 4.0,
        17_000..25_000 => 30.0,
        _ => 1_000.0,
    };
    let mut server = PacedServer::new(7, 11);
    let mut served = BTreeMap::<u64, usize>::new();
    for now in (1_000..29_000).step_by(STEP_MS as usize) {
        let before = server.arrivals.len();
        let limit = match now {
            25_000.. => StatedLimit::Unlimited,
            _ => limited(limit_at(now)),
        };
        server.step(now, limit);
        if server.rng.random_bool(0.3) {
            let entry = server.rng.random_range(0..11);
            server.send(now, entry);
        }
        *served.entry(now / 4_000).or_default() += server.arrivals.len() - before;
    }
    server.check(1_000 + CONTACT_MS, limit_at, "changing limit");
    // Windows that lie within one limit; the server gets nearly all that it takes.
    for (window, limit) in [(1, 20.0), (3, 4.0), (5, 30.0)] {
        let share = served[&window] as f64 / (limit * 4.0);
        assert!(share > 0.9, "{share} of what a limit of {limit} permits");
    }
    assert!(
        served[&6] > 200,
        "{} requests after the limit ended",
        served[&6]
    );
}

#[test]
fn request_beyond_the_limit_is_refused_at_once_until_the_limit_permits_another() {
    let mut server = PacedServer::new(3, 1);
    let rng = &mut server.rng;
    server.queue.adopt_limit(at(1_000), limited(1.0), rng);
    let mut submit = |millis, deadline| {
        let (decision, _) =
            server
                .queue
                .submit(at(millis), RequestPriority::NORMAL, at(deadline), 0, rng);
        decision
    };
    assert_eq!(submit(1_000, 3_000), AdmissionDecision::Run);
    let AdmissionDecision::Refuse { retry_at } = submit(1_010, 3_000) else {
        panic!("a wait of nearly a second exceeds a quarter of the time left");
    };
    assert!(retry_at >= at(1_750), "{retry_at:?}");
    assert!(matches!(
        submit(1_020, 9_000),
        AdmissionDecision::Wait { .. }
    ));
    assert_eq!(server.queue.next_start(), Some(at(1_750)));
}

#[test]
fn response_that_was_overtaken_does_not_end_the_limit() {
    let mut pacer = RatePacer::default();
    pacer.record_statement(at(1_050), at(1_000), limited(2.0));
    assert!(!pacer.record_statement(at(1_060), at(1_010), StatedLimit::Unlimited));
    assert_eq!(pacer.limit(), limited(2.0));
    assert!(pacer.record_statement(at(1_200), at(1_100), StatedLimit::Unlimited));
}

#[test]
fn lowered_limit_counts_the_requests_that_were_sent_before_it() {
    let mut pacer = RatePacer::default();
    pacer.adopt_limit(at(1_000), limited(40.0));
    let mut count = 0;
    for now in 1_000..1_000 + WINDOW_MS {
        if now == 1_001 {
            pacer.record_statement(at(now), at(1_000), limited(2.0));
        }
        while pacer.may_start(at(now)) {
            pacer.count_start(at(now));
            count += 1;
        }
    }
    assert!(count <= 17, "{count} requests in 4 s at 2 a second");
}

#[test]
fn limit_that_fluctuates_is_published_rarely() {
    let mut publisher = LimitPublisher::default();
    let mut rng = SmallRng::seed_from_u64(9);
    let mut publications = 0;
    for now in (0..30_000).step_by(20) {
        let limit = match rng.random_bool(0.5) {
            true => limited(rng.random_range(1.0..30.0)),
            false => StatedLimit::Unlimited,
        };
        publications += usize::from(publisher.update(at(now), limit));
    }
    assert!(
        (1..=10).contains(&publications),
        "{publications} publications in 30 s"
    );
    assert!(publisher.update(at(40_000), limited(90.0)));
    assert!(
        !publisher.update(at(50_000), limited(75.0)),
        "close to the published limit"
    );
}
