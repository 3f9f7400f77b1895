//! Simulation of entry nodes, hosts and servers of uneven speed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    f64::consts::TAU,
    fmt,
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
    ids::{BackendName, DataCentre, IncarnationNumber, RouteName, ServiceName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::{
        AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionUpdate, AttemptOutcome,
        LatencyTarget, LoadBalancer, RefusedRequest, SelectionCriteria, ServerLoad, Slowdown,
        TimePublisher,
    },
    rollout::VersionSplit,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DATA_CENTRES: [&str; 4] = ["leuven", "gent", "luik", "namen"];
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
const SLOTS: u32 = 6;
/// Waiting requests per slot, as in the daemon.
const QUEUE_FACTOR: usize = 2;
const SLOWDOWN: f64 = 2.5;
const SLOW_SHARE: f64 = 0.15;
const SPELL_MICROS: f64 = 600_000.0;
const SWING: f64 = 0.55;
const SWING_MICROS: f64 = 15_000_000.0;
const NEAR_MICROS: u64 = 200;
const FAR_MICROS: u64 = 4_000;
/// Delay with which published times and, for the simple ways of placing, loads become known.
const NEWS_MICROS: u64 = 1_000_000;
const MIN_SAMPLES: u32 = 6;
const MAX_NODES_TRIED: usize = 4;
/// Time before the requests count, in which the nodes learn the servers' speeds.
const WARM_UP_MICROS: u64 = 10_000_000;

struct RouteKind {
    name: &'static str,
    /// Share of the requests.
    share: f64,
    /// Mean work in microseconds at the speed 1.
    work: f64,
    target: u64,
}

const ROUTES: [RouteKind; 3] = [
    RouteKind {
        name: "sign",
        share: 0.5,
        work: 100_000.0,
        target: 350_000,
    },
    RouteKind {
        name: "count",
        share: 0.3,
        work: 250_000.0,
        target: 800_000,
    },
    RouteKind {
        name: "list",
        share: 0.2,
        work: 600_000.0,
        target: 2_000_000,
    },
];

/// How entry nodes place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// By the load balancer under test.
    Balancer,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest requests per slot by second-old news.
    LeastLoaded,
    /// The better of two servers drawn at random, by second-old news.
    TwoChoices,
}

/// Fleet and load of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Nodes at which requests enter.
    pub(crate) nodes: usize,
    /// Servers of the service, each beside one of the nodes.
    pub(crate) servers: usize,
    /// Demand as a share of the mean capacity.
    pub(crate) load: f64,
    /// Whether the servers are slowed in spells.
    pub(crate) is_slowed: bool,
    /// Whether the servers report their slowdown.
    pub(crate) is_reported: bool,
    /// Whether all servers are equally fast.
    pub(crate) is_even: bool,
    pub(crate) swing: f64,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// Shares of requests answered in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareReport {
    pub(crate) bound: f64,
    pub(crate) in_time: f64,
    pub(crate) routes: Vec<f64>,
    pub(crate) data_centres: Vec<f64>,
    /// Share of the attempts that were sent to another data centre.
    pub(crate) remote: f64,
    /// Attempts per request.
    pub(crate) attempts: f64,
    /// Requests handed on by a host, as a share of all.
    pub(crate) handed_on: f64,
    /// Largest number of requests that ran on one server at once.
    pub(crate) max_running: usize,
}

impl fmt::Display for ShareReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} routes {:.3?} data centres {:.3?} remote {:.3} attempts {:.3} handed on {:.4}",
            self.in_time,
            self.routes,
            self.data_centres,
            self.remote,
            self.attempts,
            self.handed_on
        )
    }
}

struct Job {
    entry: usize,
    route: usize,
    arrived: u64,
    work: f64,
    sent_at: u64,
    reached_at: u64,
    server: usize,
    tried: Vec<BackendName>,
    is_counted: bool,
}

struct Running {
    job: usize,
    left: f64,
    started_at: TimeBudget,
}

struct Server {
    queue: AdmissionQueue<usize>,
    publisher: TimePublisher,
    speed: f64,
    slowdown: f64,
    running: Vec<Running>,
    progressed_at: u64,
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    AtHost(usize),
    Finished {
        server: usize,
        version: u64,
    },
    Answered {
        job: usize,
        load: [u32; 2],
        slowdown: Slowdown,
        held: u64,
    },
    Refused {
        job: usize,
    },
    SpellChange(usize),
    Publish,
    News,
}

struct Simulation {
    scenario: Scenario,
    placement: Placement,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    balancers: Vec<LoadBalancer>,
    rows: Vec<MemberRow>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    names: Vec<BackendName>,
    homes: Vec<DataCentre>,
    /// Requests per slot of each server, as known for a second.
    news: Vec<f64>,
    next_turn: usize,
    rng: SmallRng,
    counts: BTreeMap<(usize, usize), (u64, u64)>,
    /// Work of the requests that count, by route.
    arrived_work: [f64; ROUTES.len()],
    attempts: (u64, u64),
    handed_on: u64,
    max_running: usize,
}

pub(crate) fn name<T: std::str::FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

fn at(micros: u64) -> ClockInstant {
    // Instants of zero would count as the beginning of time.
    ClockInstant::from_micros(1_000_000_000 + micros)
}

impl Scenario {
    pub(crate) fn new(nodes: usize, load: f64) -> Self {
        Self {
            nodes,
            servers: nodes,
            load,
            is_slowed: true,
            is_reported: true,
            is_even: false,
            swing: SWING,
            seconds: 30,
            seed: 7,
        }
    }

    fn speed(&self, server: usize) -> f64 {
        match self.is_even {
            true => 1.0,
            // Neighbouring numbers are in different data centres.
            false => SPEEDS[server / DATA_CENTRES.len() % SPEEDS.len()],
        }
    }

    /// Returns the work that all servers do in a second, in seconds at the speed 1.
    fn capacity(&self) -> f64 {
        let speeds: f64 = (0..self.servers).map(|server| self.speed(server)).sum();
        let slowed = match self.is_slowed {
            true => 1.0 - SLOW_SHARE + SLOW_SHARE / SLOWDOWN,
            false => 1.0,
        };
        speeds * slowed * f64::from(SLOTS)
    }

    /// Returns the requests of one entry node in a second.
    fn rate(&self) -> f64 {
        let work: f64 = ROUTES.iter().map(|route| route.share * route.work).sum();
        self.load * self.capacity() / (work / 1_000_000.0) / self.nodes as f64
    }

    pub(crate) fn run(self, placement: Placement) -> ShareReport {
        let mut simulation = Simulation::new(self, placement);
        simulation.play();
        simulation.report()
    }
}

impl Simulation {
    fn new(scenario: Scenario, placement: Placement) -> Self {
        let names: Vec<BackendName> = (0..scenario.servers)
            .map(|server| name(&format!("server-{server}")))
            .collect();
        let homes: Vec<DataCentre> = DATA_CENTRES.iter().map(|text| name(text)).collect();
        let rows: Vec<MemberRow> = (0..scenario.servers)
            .map(|server| member(&names[server], &homes[server % homes.len()]))
            .collect();
        let mut balancers = Vec::with_capacity(scenario.nodes);
        for _ in 0..scenario.nodes {
            let mut balancer = LoadBalancer::default();
            if placement == Placement::Balancer {
                balancer.sync(at(0), rows.iter(), |_| TimeBudget::ZERO);
            }
            balancers.push(balancer);
        }
        let servers = (0..scenario.servers).map(|server| Server {
            queue: AdmissionQueue::new(SlotCount::new(SLOTS), SLOTS as usize * QUEUE_FACTOR),
            publisher: TimePublisher::default(),
            speed: scenario.speed(server),
            slowdown: 1.0,
            running: Vec::new(),
            progressed_at: 0,
            version: 0,
        });
        Self {
            servers: servers.collect(),
            scenario,
            placement,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            balancers,
            rows,
            jobs: Vec::new(),
            news: vec![0.0; names.len()],
            names,
            homes,
            next_turn: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            counts: BTreeMap::new(),
            arrived_work: [0.0; ROUTES.len()],
            attempts: (0, 0),
            handed_on: 0,
            max_running: 0,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn play(&mut self) {
        for node in 0..self.scenario.nodes {
            self.schedule_arrival(node);
        }
        for server in 0..self.scenario.servers {
            if self.scenario.is_slowed {
                let delay = self.exponential(SPELL_MICROS * (1.0 - SLOW_SHARE) / SLOW_SHARE);
                self.schedule(delay, Event::SpellChange(server));
            }
        }
        self.schedule(NEWS_MICROS, Event::Publish);
        self.schedule(NEWS_MICROS, Event::News);
        let end = WARM_UP_MICROS + self.scenario.seconds * 1_000_000;
        while let Some(Reverse((instant, _, event))) = self.events.pop() {
            self.now = instant;
            match event {
                Event::Arrival(node) if instant < end => self.arrive(node),
                Event::SpellChange(server) if instant < end => self.change_spell(server),
                Event::Publish if instant < end => self.publish(),
                Event::News if instant < end => self.refresh_news(),
                Event::AtHost(job) => self.reach_host(job),
                Event::Finished { server, version } => self.finish(server, version),
                Event::Answered {
                    job,
                    load,
                    slowdown,
                    held,
                } => {
                    self.record_round_trip(job, held);
                    self.answer(job, load, slowdown);
                }
                Event::Refused { job } => self.refused(job),
                _ => {}
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * self.rng.random_range(f64::EPSILON..1.0).ln()) as u64
    }

    /// Schedules the next arrival by thinning a stream at the highest rate.
    fn schedule_arrival(&mut self, node: usize) {
        let highest = self.scenario.rate() * (1.0 + self.scenario.swing);
        let delay = self.exponential(1_000_000.0 / highest);
        self.schedule(delay, Event::Arrival(node));
    }

    fn arrive(&mut self, node: usize) {
        self.schedule_arrival(node);
        let data_centre = node % DATA_CENTRES.len();
        let phase = data_centre as f64 / DATA_CENTRES.len() as f64;
        let angle = TAU * (self.now as f64 / SWING_MICROS + phase);
        let swing = self.scenario.swing;
        let share = (1.0 + swing * angle.sin()) / (1.0 + swing);
        if !self.rng.random_bool(share) {
            return;
        }
        let mut draw: f64 = self.rng.random_range(0.0..1.0);
        let mut route = 0;
        while route + 1 < ROUTES.len() && draw >= ROUTES[route].share {
            draw -= ROUTES[route].share;
            route += 1;
        }
        let is_counted = self.now >= WARM_UP_MICROS;
        let work = ROUTES[route].work * self.rng.random_range(0.5..1.5);
        if is_counted {
            self.arrived_work[route] += work;
        }
        self.jobs.push(Job {
            entry: node,
            route,
            arrived: self.now,
            work,
            sent_at: 0,
            reached_at: 0,
            server: 0,
            tried: Vec::new(),
            is_counted,
        });
        self.place(self.jobs.len() - 1);
    }

    fn place(&mut self, job: usize) {
        let Some(server) = self.choose(job) else {
            self.settle(job, false);
            return;
        };
        let is_remote = self.delay(self.jobs[job].entry, server) == FAR_MICROS;
        if self.jobs[job].is_counted {
            self.attempts.0 += 1;
            self.attempts.1 += u64::from(is_remote);
        }
        let entry = self.jobs[job].entry;
        let sent = &mut self.jobs[job];
        sent.server = server;
        sent.sent_at = self.now;
        sent.tried.push(self.names[server].clone());
        let delay = self.delay(entry, server);
        self.schedule(delay, Event::AtHost(job));
    }

    fn delay(&self, entry: usize, server: usize) -> u64 {
        match entry % DATA_CENTRES.len() == server % DATA_CENTRES.len() {
            true => NEAR_MICROS,
            false => FAR_MICROS,
        }
    }

    fn choose(&mut self, job: usize) -> Option<usize> {
        let job = &self.jobs[job];
        if job.tried.len() >= MAX_NODES_TRIED {
            return None;
        }
        let server_count = self.servers.len();
        match self.placement {
            Placement::Balancer => {
                let home = job.entry % DATA_CENTRES.len();
                let spill: Vec<DataCentre> = (1..DATA_CENTRES.len())
                    .map(|step| self.homes[(home + step) % DATA_CENTRES.len()].clone())
                    .collect();
                let split = VersionSplit::any();
                let route: RouteName = name(ROUTES[job.route].name);
                let service: ServiceName = name("petitions");
                let criteria = SelectionCriteria {
                    service: &service,
                    versions: split.choose(0),
                    data_centre: &self.homes[home],
                    spill_order: &spill,
                    tried: &job.tried,
                    latency_target: Some(LatencyTarget {
                        route: &route,
                        latency: TimeBudget::from_micros(ROUTES[job.route].target),
                    }),
                };
                let location =
                    self.balancers[job.entry].select(at(self.now), &criteria, &mut self.rng)?;
                let number = location.backend.as_str().strip_prefix("server-")?;
                number.parse().ok()
            }
            Placement::RoundRobin => {
                self.next_turn += 1;
                Some(self.next_turn % server_count)
            }
            Placement::LeastLoaded => {
                let untried = |server: &usize| !job.tried.contains(&self.names[*server]);
                let servers = (0..server_count).filter(untried);
                servers.min_by(|a, b| self.news[*a].total_cmp(&self.news[*b]))
            }
            Placement::TwoChoices => {
                let first = self.rng.random_range(0..server_count);
                let second = self.rng.random_range(0..server_count);
                Some(match self.news[second] < self.news[first] {
                    true => second,
                    false => first,
                })
            }
        }
    }

    fn reach_host(&mut self, job: usize) {
        let server = self.jobs[job].server;
        self.jobs[job].reached_at = self.now;
        let route = &ROUTES[self.jobs[job].route];
        let request = AdmissionRequest {
            priority: RequestPriority::NORMAL,
            deadline: at(self.jobs[job].arrived + 3 * route.target),
            soft_deadline: Some(at(self.jobs[job].arrived + route.target)),
            account: None,
            route: Some(name(route.name)),
            is_call: false,
        };
        let queue = &mut self.servers[server].queue;
        let (decision, evicted) = queue.submit_request(at(self.now), &request, job, &mut self.rng);
        match decision {
            AdmissionDecision::Run => self.start(server, job),
            AdmissionDecision::Wait { queue_key, .. } => {
                if self.jobs[job].tried.len() == 1 {
                    queue.allow_hand_on(queue_key, at(self.jobs[job].arrived + route.target));
                }
            }
            AdmissionDecision::Refuse { .. } => self.refuse(server, job),
        }
        self.refuse_all(server, evicted);
    }

    fn refuse(&mut self, server: usize, job: usize) {
        let delay = self.delay(self.jobs[job].entry, server);
        self.schedule(delay, Event::Refused { job });
    }

    fn refuse_all(&mut self, server: usize, refused: Vec<RefusedRequest<usize>>) {
        for request in refused {
            self.refuse(server, request.item);
        }
    }

    fn start(&mut self, server: usize, job: usize) {
        self.progress(server);
        let left = self.jobs[job].work;
        let started_at = self.servers[server].queue.service_clock(at(self.now));
        let running = &mut self.servers[server].running;
        running.push(Running {
            job,
            left,
            started_at,
        });
        self.max_running = self.max_running.max(running.len());
        self.schedule_finish(server);
    }

    /// Counts the work that a server has done since its last change.
    fn progress(&mut self, server: usize) {
        let now = self.now;
        let server = &mut self.servers[server];
        let done = (now - server.progressed_at) as f64 * server.speed / server.slowdown;
        for running in &mut server.running {
            running.left -= done;
        }
        server.progressed_at = now;
    }

    fn schedule_finish(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.version += 1;
        let version = state.version;
        let left = state.running.iter().map(|running| running.left);
        let least = left.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            let delay = (least.max(0.0) * state.slowdown / state.speed).ceil() as u64;
            self.schedule(delay, Event::Finished { server, version });
        }
    }

    fn finish(&mut self, server: usize, version: u64) {
        if self.servers[server].version != version {
            return;
        }
        self.progress(server);
        let running = std::mem::take(&mut self.servers[server].running);
        let (finished, left): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|running| running.left <= 0.5);
        self.servers[server].running = left;
        for running in finished {
            self.complete(server, &running);
        }
        self.schedule_finish(server);
    }

    fn complete(&mut self, server: usize, running: &Running) {
        let job = running.job;
        let now = at(self.now);
        let route = name(ROUTES[self.jobs[job].route].name);
        let reported = Slowdown::from_factor(self.servers[server].slowdown);
        let reported = self.scenario.is_reported.then_some(reported);
        let queue = &mut self.servers[server].queue;
        let handed_on = queue.record_slowdown(now, reported, &mut self.rng);
        let took = running.started_at.shortfall_from(queue.service_clock(now));
        queue.record_route_time(&route, took);
        let AdmissionUpdate { started, refused } =
            queue.release(at(self.now), Some(took), &mut self.rng);
        for job in started {
            self.start(server, job);
        }
        self.handed_on += handed_on.len() as u64;
        self.refuse_all(server, handed_on);
        self.refuse_all(server, refused);
        let queue = &self.servers[server].queue;
        let event = Event::Answered {
            job,
            load: [queue.running(), queue.waiting() as u32],
            slowdown: queue.slowdown(now),
            held: self.now - self.jobs[job].reached_at,
        };
        let delay = self.delay(self.jobs[job].entry, server);
        self.schedule(delay, event);
    }

    fn answer(&mut self, job: usize, [running, waiting]: [u32; 2], slowdown: Slowdown) {
        let load = ServerLoad {
            running,
            waiting,
            slowdown,
        };
        self.record(job, AttemptOutcome::Served, Some(load));
        let is_in_time = self.now - self.jobs[job].arrived <= ROUTES[self.jobs[job].route].target;
        self.settle(job, is_in_time);
    }

    fn record_round_trip(&mut self, job: usize, held: u64) {
        let job = &self.jobs[job];
        let took = TimeBudget::from_micros(self.now - job.sent_at);
        let held = TimeBudget::from_micros(held);
        let backend = &self.names[job.server];
        self.balancers[job.entry].record_round_trip(&name("petitions"), backend, took, held);
    }

    fn refused(&mut self, job: usize) {
        self.record(job, AttemptOutcome::Shed, None);
        self.place(job);
    }

    fn record(&mut self, job: usize, outcome: AttemptOutcome, load: Option<ServerLoad>) {
        if self.placement != Placement::Balancer {
            return;
        }
        let job = &self.jobs[job];
        let service: ServiceName = name("petitions");
        let backend = &self.names[job.server];
        let took = TimeBudget::from_micros(self.now - job.sent_at);
        let balancer = &mut self.balancers[job.entry];
        balancer.record_outcome(at(self.now), &service, backend, outcome, took);
        if let Some(load) = load {
            balancer.report_load(at(self.now), &service, backend, load);
        }
    }

    fn settle(&mut self, job: usize, is_in_time: bool) {
        let job = &self.jobs[job];
        if job.is_counted {
            let data_centre = job.entry % DATA_CENTRES.len();
            let count = self.counts.entry((job.route, data_centre)).or_default();
            count.0 += u64::from(is_in_time);
            count.1 += 1;
        }
    }

    fn change_spell(&mut self, server: usize) {
        self.progress(server);
        let state = &mut self.servers[server];
        let is_slow = state.slowdown > 1.0;
        state.slowdown = if is_slow { 1.0 } else { SLOWDOWN };
        let mean = match is_slow {
            true => SPELL_MICROS * (1.0 - SLOW_SHARE) / SLOW_SHARE,
            false => SPELL_MICROS,
        };
        let delay = self.exponential(mean);
        self.schedule(delay, Event::SpellChange(server));
        self.schedule_finish(server);
    }

    /// Publishes the servers' times, which reach all entry nodes at once.
    fn publish(&mut self) {
        let members = self.scenario.nodes;
        let mut changed = Vec::new();
        for (number, server) in self.servers.iter_mut().enumerate() {
            let times = server.queue.route_times(MIN_SAMPLES);
            if server.publisher.update(at(self.now), members, times) {
                self.rows[number].backends[0].times = server.publisher.published().clone();
                changed.push(number);
            }
        }
        if self.placement == Placement::Balancer {
            for balancer in &mut self.balancers {
                let rows = changed.iter().map(|number| &self.rows[*number]);
                balancer.sync_changes(at(self.now), rows, |_| TimeBudget::ZERO);
            }
        }
        self.schedule(NEWS_MICROS, Event::Publish);
    }

    fn refresh_news(&mut self) {
        for (news, server) in self.news.iter_mut().zip(&self.servers) {
            let count = server.queue.running() as usize + server.queue.waiting();
            *news = count as f64 / server.speed;
        }
        self.schedule(NEWS_MICROS, Event::News);
    }

    /// Returns the largest share of the requests that the servers can do within `capacity`
    /// microseconds of work: those of the shortest route first.
    fn bound(&self, capacity: f64) -> f64 {
        let (mut left, mut done, mut total) = (capacity, 0.0, 0.0);
        for (route, work) in self.arrived_work.iter().enumerate() {
            let counts = self.counts.iter().filter(|((other, _), _)| *other == route);
            let requests = counts.map(|(_, count)| count.1 as f64).sum::<f64>();
            total += requests;
            done += requests * (left / work).clamp(0.0, 1.0);
            left = (left - work).max(0.0);
        }
        done / total
    }

    fn report(&self) -> ShareReport {
        let share = |counts: &dyn Fn(usize, usize) -> bool| {
            let counts = self
                .counts
                .iter()
                .filter(|((route, dc), _)| counts(*route, *dc));
            let (good, all) =
                counts.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1));
            good as f64 / f64::max(all as f64, 1.0)
        };
        let total: u64 = self.counts.values().map(|count| count.1).sum();
        let seconds = self.scenario.seconds as f64;
        let capacity = self.scenario.capacity() * seconds * 1_000_000.0;
        ShareReport {
            bound: self.bound(capacity),
            in_time: share(&|_, _| true),
            routes: (0..ROUTES.len())
                .map(|number| share(&|route, _| route == number))
                .collect(),
            data_centres: (0..DATA_CENTRES.len())
                .map(|number| share(&|_, data_centre| data_centre == number))
                .collect(),
            remote: self.attempts.1 as f64 / self.attempts.0 as f64,
            attempts: self.attempts.0 as f64 / total as f64,
            handed_on: self.handed_on as f64 / total as f64,
            max_running: self.max_running,
        }
    }
}

pub(crate) fn member(backend: &BackendName, data_centre: &DataCentre) -> MemberRow {
    MemberRow {
        node: name(&format!("node-{backend}")),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: data_centre.clone(),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: backend.clone(),
            service: name("petitions"),
            version: name("v1"),
            slots: SlotCount::new(SLOTS),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    }
}
