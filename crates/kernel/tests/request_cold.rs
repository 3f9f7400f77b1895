//! Servers that turn cold: the rate at the queue beside them, what their node knows, and what entry
//! nodes choose.

use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{IncarnationNumber, RequestRate, ServiceName, SlotCount},
    member::{
        BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedCold,
        StatedLimit,
    },
    request::{
        AdmissionDecision, AdmissionQueue, AttemptOutcome, ColdLimit, ColdState, LoadBalancer,
        SelectionCriteria,
    },
    rollout::VersionSplit,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const RATE: RequestRate = RequestRate::from_millis(15_000);
const COLD_MS: u64 = 3_000;
const COLD_TIME: TimeBudget = TimeBudget::from_millis(COLD_MS);
const WINDOW_MS: u64 = 1_000;
/// Requests that a cold server may get in a second, by the users' rules: 15 x 1.5 + 8.
const ALLOWED: usize = 30;
const SLOTS: SlotCount = SlotCount::new(6);
const QUEUE_LIMIT: usize = 12;
const SERVICE_MS: u64 = 20;
const DEADLINE_MS: u64 = 1_500;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

/// Queue beside one server under more load than the server takes.
struct ColdServer {
    rng: SmallRng,
    queue: AdmissionQueue<()>,
    known_from: u64,
    cold_until: u64,
    /// Ends of the running requests.
    running: Vec<u64>,
    starts: Vec<u64>,
}

impl ColdServer {
    fn new(seed: u64, now: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            queue: AdmissionQueue::new(SLOTS, QUEUE_LIMIT),
            known_from: now,
            cold_until: 0,
            running: Vec::new(),
            starts: Vec::new(),
        }
    }

    /// Starts the node beside the server again, which counts the server as cold.
    fn restart_host(&mut self, now: u64) {
        self.queue = AdmissionQueue::new(SLOTS, QUEUE_LIMIT);
        self.running.clear();
        self.known_from = now;
        self.cold_until = now + COLD_MS;
    }

    fn start(&mut self, now: u64, count: usize) {
        for _ in 0..count {
            self.starts.push(now);
            self.running.push(now + SERVICE_MS);
        }
    }

    /// Runs one millisecond, in which `arrivals` requests arrive.
    fn step(&mut self, now: u64, arrivals: usize) {
        let limit = ColdLimit {
            rate: RATE,
            cold_until: at(self.cold_until),
            known_from: at(self.known_from),
        };
        let update = self
            .queue
            .set_cold_limit(at(now), Some(limit), &mut self.rng);
        self.start(now, update.started.len());
        let ended = self.running.iter().filter(|end| **end <= now).count();
        self.running.retain(|end| *end > now);
        for _ in 0..ended {
            let took = Some(TimeBudget::from_millis(SERVICE_MS));
            let update = self.queue.release(at(now), took, &mut self.rng);
            self.start(now, update.started.len());
        }
        let due = self.queue.start_due(at(now), &mut self.rng);
        self.start(now, due.started.len());
        for _ in 0..arrivals {
            let deadline = at(now + DEADLINE_MS);
            let priority = RequestPriority::NORMAL;
            let (decision, _) = self
                .queue
                .submit(at(now), priority, deadline, (), &mut self.rng);
            if decision == AdmissionDecision::Run {
                self.start(now, 1);
            }
        }
    }

    /// Returns the largest number of starts in a sliding second that begins from `from` on.
    fn largest_window(&self, from: u64, until: u64) -> usize {
        let starts = self.starts.iter().copied();
        let begins = starts.filter(|start| (from..until).contains(start));
        let count = |begin: u64| {
            let window = begin..begin + WINDOW_MS;
            self.starts
                .iter()
                .filter(|start| window.contains(*start))
                .count()
        };
        begins.map(count).max().unwrap_or(0)
    }
}

/// Guards against more requests than a cold server bears, at any moment at which it turns cold.
#[test]
fn cold_server_gets_its_rate_in_every_sliding_second_and_no_less() {
    for seed in 0..30 {
        let mut server = ColdServer::new(seed, 0);
        let turns_cold_at = 2_000 + server.rng.random_range(0..1_000);
        let end = turns_cold_at + COLD_MS;
        for now in 0..end + 500 {
            if now == turns_cold_at {
                server.cold_until = end;
            }
            let arrivals = usize::from(server.rng.random_bool(0.4));
            server.step(now, arrivals);
        }
        let before = server.largest_window(0, 1_000);
        assert!(before > 200, "seed {seed}: {before} a second while warm");
        let cold = server.largest_window(turns_cold_at, end - WINDOW_MS);
        assert!(cold <= ALLOWED, "seed {seed}: {cold} in a second");
        // A second that has begun warm holds nothing more once it holds what a cold server bears.
        for begin in turns_cold_at - WINDOW_MS..turns_cold_at {
            let count = |range: std::ops::Range<u64>| {
                let starts = server.starts.iter();
                starts.filter(|start| range.contains(*start)).count()
            };
            let warm = count(begin..turns_cold_at);
            let all = count(begin..begin + WINDOW_MS);
            assert!(
                all <= warm.max(ALLOWED),
                "seed {seed}: {warm} warm of {all}"
            );
        }
        let served = server.starts.iter();
        let served = served
            .filter(|start| (turns_cold_at..end).contains(*start))
            .count();
        // The starts of the second before use up the first second.
        assert!(served >= 28, "seed {seed}: {served} in 3 s at 15 a second");
    }
}

/// Guards against a restarted host that uses the rate which its predecessor has used up.
#[test]
fn restarted_host_counts_the_preceding_second_as_used() {
    for seed in 0..30 {
        let mut server = ColdServer::new(seed, 0);
        server.cold_until = 20_000;
        let restart = 3_000 + server.rng.random_range(0..1_000);
        for now in 0..6_000 {
            if now == restart {
                server.restart_host(now);
            }
            server.step(now, 1);
        }
        let most = server.largest_window(0, 5_000);
        assert!(most <= ALLOWED, "seed {seed}: {most} in a second");
        let first = server.starts.iter().find(|start| **start >= restart);
        assert!(first.is_some_and(|start| *start >= restart + WINDOW_MS));
    }
}

/// Guards against low rates that stop a service, and against windows that hold one too many.
#[test]
fn low_rate_lets_single_requests_through() {
    let mut server = ColdServer::new(1, 0);
    server.cold_until = u64::MAX / 2_000;
    let slow = ColdLimit {
        rate: RequestRate::from_millis(500),
        cold_until: at(server.cold_until),
        known_from: at(0),
    };
    let mut started = 0;
    for now in 0..10_000 {
        let update = server
            .queue
            .set_cold_limit(at(now), Some(slow), &mut server.rng);
        started += update.started.len();
        let due = server
            .queue
            .start_due(at(now), &mut server.rng)
            .started
            .len();
        started += due;
        for _ in 0..due {
            server.queue.release(at(now), None, &mut server.rng);
        }
        let deadline = at(now + 30_000);
        let priority = RequestPriority::NORMAL;
        let (decision, _) = server
            .queue
            .submit(at(now), priority, deadline, (), &mut server.rng);
        if decision == AdmissionDecision::Run {
            started += 1;
            server.queue.release(at(now), None, &mut server.rng);
        }
    }
    assert!(
        (3..=6).contains(&started),
        "{started} in 10 s at one each 2 s"
    );
}

/// Guards against refusals that promise room before the rate permits it, and against queues in
/// which less urgent requests use up a cold server.
#[test]
fn urgent_requests_go_first_and_refusals_name_a_time_with_room() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut queue = AdmissionQueue::new(SLOTS, QUEUE_LIMIT);
    let limit = ColdLimit {
        rate: RATE,
        cold_until: at(60_000),
        known_from: at(0),
    };
    queue.set_cold_limit(at(0), Some(limit), &mut rng);
    let mut submit = |queue: &mut AdmissionQueue<u8>, priority, deadline, item| {
        let (decision, _) = queue.submit(at(100), priority, at(deadline), item, &mut rng);
        decision
    };
    let normal = submit(&mut queue, RequestPriority::NORMAL, 9_000, 1);
    let urgent = submit(&mut queue, RequestPriority::URGENT, 9_000, 2);
    assert!(matches!(normal, AdmissionDecision::Wait { .. }));
    assert!(matches!(urgent, AdmissionDecision::Wait { .. }));
    let hurried = submit(&mut queue, RequestPriority::URGENT, 800, 3);
    let AdmissionDecision::Refuse { retry_at } = hurried else {
        panic!("cannot start before its deadline: {hurried:?}");
    };
    assert!(retry_at >= at(1_000), "{retry_at}");
    let started = queue.start_due(at(1_000), &mut rng).started;
    assert_eq!(started.first(), Some(&2));
}

/// Guards against statements from before an event that end the doubt which it raised.
#[test]
fn only_a_response_asked_for_after_the_event_ends_a_doubt() {
    let mut state = ColdState::new(at(0));
    assert_eq!(state.cold_until(Some(COLD_TIME)), Some(at(3_000)));
    assert_eq!(
        state.cold_until(None),
        None,
        "a service without a cold time"
    );
    state.record_response(at(20), at(10), TimeBudget::ZERO);
    assert_eq!(state.cold_until(Some(COLD_TIME)), Some(at(20)));
    state.record_doubt(at(5_000));
    state.record_response(at(5_010), at(4_990), TimeBudget::ZERO);
    // A heartbeat may have been sent before the event.
    state.record_heartbeat(at(5_020), TimeBudget::ZERO);
    state.record_heartbeat(at(5_030), TimeBudget::from_millis(100));
    assert_eq!(state.cold_until(Some(COLD_TIME)), Some(at(8_000)));
    state.record_response(at(5_050), at(5_040), TimeBudget::from_millis(2_900));
    assert_eq!(state.cold_until(Some(COLD_TIME)), Some(at(7_950)));
    state.record_response(at(5_060), at(5_035), TimeBudget::ZERO);
    assert_eq!(
        state.cold_until(Some(COLD_TIME)),
        Some(at(7_950)),
        "was overtaken"
    );
    state.record_heartbeat(at(20_000), TimeBudget::from_millis(2_500));
    assert_eq!(
        state.cold_until(Some(COLD_TIME)),
        Some(at(22_500)),
        "is cold again"
    );
    state.record_heartbeat(at(20_500), TimeBudget::ZERO);
    assert_eq!(
        state.cold_until(Some(COLD_TIME)),
        Some(at(20_500)),
        "a heartbeat ends what an earlier one stated"
    );
}

/// Guards against health requests without need.
#[test]
fn server_is_asked_only_in_doubt_and_once_a_second() {
    let mut state = ColdState::new(at(0));
    let asked = |state: &mut ColdState, range: std::ops::Range<u64>| {
        range
            .filter(|now| state.take_probe(at(*now), COLD_TIME))
            .count()
    };
    assert_eq!(
        asked(&mut state, 0..10_000),
        3,
        "without an answer, until the cold time is over"
    );
    state.record_doubt(at(10_000));
    assert_eq!(asked(&mut state, 10_000..10_500), 1);
    state.record_response(at(10_500), at(10_000), TimeBudget::ZERO);
    assert_eq!(asked(&mut state, 10_500..30_000), 0);
}

/// Guards against a server that is held back for good by a mistake.
#[test]
fn absurd_cold_times_are_refused() {
    let read = |text: &str| StatedCold::from_header(Some(text.as_bytes()));
    assert_eq!(
        read("1500"),
        StatedCold::Left(TimeBudget::from_millis(1_500))
    );
    assert_eq!(StatedCold::from_header(None), StatedCold::Unknown);
    for wrong in ["", "-1", "1.5e9", "inf", "99999999999", "soon", "\u{e9}"] {
        assert_eq!(read(wrong), StatedCold::Refused, "{wrong:?}");
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

fn member(server: &str, cold_until: ClockInstant) -> MemberRow {
    let times = BTreeMap::from([(name("r-read"), TimeBudget::from_millis(SERVICE_MS))]);
    MemberRow {
        node: name(&format!("node-{server}")),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: name("leuven"),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: name(server),
            service: name("tracker"),
            version: name("v1"),
            slots: SLOTS,
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: Some(cold_until),
            times,
        }],
    }
}

/// Guards against entry nodes that count a cold server by its slots: 12 requests are always
/// outstanding on three servers, of which one bears 15 a second.
#[test]
fn cold_server_is_counted_by_what_its_rate_lets_it_do() {
    let now = at(1_000_000);
    let cold_until = now.after(COLD_TIME);
    let rows = [("a", cold_until), ("b", now), ("c", now)];
    let rows = rows.map(|(server, cold_until)| member(server, cold_until));
    let service: ServiceName = name("tracker");
    let share = |cold_rates: BTreeMap<ServiceName, RequestRate>| {
        let mut rng = SmallRng::seed_from_u64(9);
        let mut balancer = LoadBalancer::default();
        balancer.sync(now, rows.iter(), |_| TimeBudget::ZERO);
        balancer.set_cold_rates(cold_rates);
        let split = VersionSplit::any();
        let criteria = SelectionCriteria {
            service: &service,
            versions: split.choose(0),
            data_centre: &name("leuven"),
            spill_order: &[],
            tried: &[],
            latency_target: None,
        };
        let mut outstanding = std::collections::VecDeque::new();
        let mut count = 0;
        for _ in 0..600 {
            let location = balancer.select(now, &criteria, &mut rng).expect("serves");
            count += usize::from(location.backend.as_str() == "a");
            outstanding.push_back(location.backend);
            if outstanding.len() > 12 {
                let ended = outstanding.pop_front().expect("is outstanding");
                let took = TimeBudget::from_millis(SERVICE_MS);
                balancer.record_outcome(now, &service, &ended, AttemptOutcome::Served, took);
            }
        }
        count
    };
    let without = share(BTreeMap::new());
    let with = share(BTreeMap::from([(name("tracker"), RATE)]));
    assert!(
        with * 2 < without,
        "{with} of 600 with the rate, {without} without"
    );
    assert!(with > 0, "the cold server is used");
}
