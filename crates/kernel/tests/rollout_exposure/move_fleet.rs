//! Fleet of nodes and servers that carries out one limited move.

use std::collections::{BTreeMap, VecDeque};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ServiceSpec, ShareRatio},
    ids::{
        AttemptToken, BackendName, BuildVersion, DataCentre, IncarnationNumber, MoveNumber,
        NodeName, RouteName, ServiceName, SlotCount,
    },
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::{AttemptOutcome, LoadBalancer, SelectionCriteria},
    rollout::{
        EvidenceSource, ExposureLimit, MoveEvidence, MoveMark, MoveRecord, MoveState, MoveTable,
        MoveView, OutcomeClass, OutcomeReport, SharePlan,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub(crate) const START: ClockInstant = ClockInstant::from_millis(1_000_000);
/// Share of the requests that a faulty version may get.
pub(crate) const LIMIT: f64 = 0.1;
/// Requests that a faulty version may get beside them.
pub(crate) const SLACK: usize = 50;
/// Bad answers from which on the version must be stopped within [`STOP_TIME`].
const BAD_ANSWERS: usize = 50;
const STOP_TIME: TimeBudget = TimeBudget::from_secs(5);

const STEP_MICROS: u64 = 5_000;
const TICK: TimeBudget = TimeBudget::from_millis(250);
const REMOTE_INTERVAL: TimeBudget = TimeBudget::from_millis(250);
const VIEW_INTERVAL: TimeBudget = TimeBudget::from_secs(3);
const DELAY_MICROS: std::ops::Range<u64> = 20_000..250_000;
const JUDGES: usize = 2;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Share of the requests that a good version fails.
const USUAL_FAILURES: f64 = 0.004;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum VersionFault {
    /// None.
    Good,
    /// The share fails that a server with half of its slots in use begins to run.
    UnderLoad(f64),
    /// The share fails of all that its servers run from the given second on.
    From(f64, u64),
    /// The first of its servers fails half of its requests; the version is good.
    SickServer,
    /// Both versions fail this share from the given second on; the version is good.
    WholeService(f64, u64),
}

/// Fleet and load of a move.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) nodes: usize,
    pub(crate) data_centres: usize,
    /// Servers of each version.
    pub(crate) servers: usize,
    /// Requests per second on each route.
    pub(crate) rates: &'static [f64],
    /// Mean work of a request in milliseconds.
    pub(crate) work_ms: f64,
    pub(crate) span: TimeBudget,
    pub(crate) fault: VersionFault,
    /// Factor of the load in the second half of the span.
    pub(crate) burst: f64,
}

/// Result of a move.
#[derive(Clone, Debug, Default)]
pub(crate) struct MoveResult {
    pub(crate) done_after: Option<TimeBudget>,
    pub(crate) marked_after: Option<TimeBudget>,
    /// Figures of the first mark.
    pub(crate) figures: Option<String>,
    /// Requests that reached the new version before the deadline.
    pub(crate) on_new: usize,
    /// All requests before the deadline.
    pub(crate) all: usize,
    /// Requests that reached it later than allowed after its bad answers.
    pub(crate) late: usize,
}

impl MoveResult {
    /// Returns whether a faulty version got more requests than allowed.
    pub(crate) fn breaks_limit(&self) -> bool {
        let allowed = (self.all as f64 * LIMIT) as usize + SLACK;
        self.on_new > allowed || self.late > 0
    }
}

enum Message {
    Evidence(MoveEvidence),
    View(DataCentre, MoveView),
    Mark(MoveMark),
    Record(Box<MoveRecord>),
}

struct FleetNode {
    data_centre: usize,
    table: MoveTable,
    balancer: LoadBalancer,
    next_tick: ClockInstant,
    next_remote: ClockInstant,
    sent_view: Option<MoveView>,
}

#[derive(Default)]
struct FleetServer {
    running: usize,
    waiting: VecDeque<FleetRequest>,
}

#[derive(Clone)]
struct FleetRequest {
    node: usize,
    route: usize,
    server: usize,
    sent_at: ClockInstant,
}

struct Fleet {
    plan: FleetPlan,
    rng: SmallRng,
    now: ClockInstant,
    service: ServiceName,
    routes: Vec<RouteName>,
    versions: [BuildVersion; 2],
    centres: Vec<DataCentre>,
    nodes: Vec<FleetNode>,
    /// The first half has the old version.
    servers: Vec<FleetServer>,
    names: Vec<BackendName>,
    messages: BTreeMap<(ClockInstant, u64), (usize, Message)>,
    /// Ends of runs, with the request and whether it fails.
    ends: BTreeMap<(ClockInstant, u64), (FleetRequest, bool)>,
    sequence: u64,
    record: MoveRecord,
    bad_answers: usize,
    stop_by: Option<ClockInstant>,
    result: MoveResult,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

impl FleetPlan {
    /// Carries out the move, and goes on for ten seconds after its deadline.
    pub(crate) fn run(self, seed: u64) -> MoveResult {
        let end = START
            .after(self.span)
            .after(TimeBudget::from_secs(10))
            .as_micros();
        let mut fleet = Fleet::new(self, seed);
        while fleet.now.as_micros() < end {
            fleet.step();
        }
        fleet.result
    }
}

impl Fleet {
    fn new(plan: FleetPlan, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let service: ServiceName = name("watershed");
        let centres: Vec<DataCentre> = (0..plan.data_centres)
            .map(|centre| name(&format!("dc{centre}")))
            .collect();
        let versions: [BuildVersion; 2] = [name("v1"), name("v2")];
        let record = MoveRecord {
            service: service.clone(),
            number: MoveNumber::new(1),
            from: versions[1].clone(),
            to: versions[1].clone(),
            start: START,
            by: START.after(plan.span),
            rule: ServiceSpec::with_defaults(110).rollout,
            state: MoveState::Running,
            attempt: AttemptToken::new(1),
            statement: None,
            mark: None,
            barred: Vec::new(),
            earlier: Vec::new(),
        };
        let names: Vec<BackendName> = (0..2 * plan.servers)
            .map(|server| name(&format!("s{server}")))
            .collect();
        let rows: Vec<MemberRow> = names
            .iter()
            .enumerate()
            .map(|(server, backend)| {
                let version = versions[server / plan.servers].clone();
                member_row(&service, backend, version, &centres[server % centres.len()])
            })
            .collect();
        let nodes = (0..plan.nodes).map(|node| {
            let data_centre = node % plan.data_centres;
            let source = EvidenceSource {
                node: name(&format!("n{node}")),
                incarnation: IncarnationNumber::new(1),
            };
            let mut table = MoveTable::new(source, centres[data_centre].clone());
            table.limit_exposure(Some(ExposureLimit {
                share: ShareRatio::from_ppm((LIMIT * 1e6) as u32),
                slack: SLACK as u32,
            }));
            table.merge_record(record.clone(), START);
            table.set_judge(&service, node / plan.data_centres < JUDGES);
            let mut balancer = LoadBalancer::default();
            balancer.sync(START, rows.iter(), |_| TimeBudget::ZERO);
            FleetNode {
                data_centre,
                table,
                balancer,
                next_tick: START.after(TimeBudget::from_micros(
                    rng.random_range(0..TICK.as_micros()),
                )),
                next_remote: START,
                sent_view: None,
            }
        });
        let nodes = nodes.collect();
        Self {
            service,
            routes: (0..plan.rates.len())
                .map(|route| name(&format!("route-{route}")))
                .collect(),
            versions,
            centres,
            nodes,
            servers: (0..names.len()).map(|_| FleetServer::default()).collect(),
            names,
            messages: BTreeMap::new(),
            ends: BTreeMap::new(),
            sequence: 0,
            record,
            bad_answers: 0,
            stop_by: None,
            result: MoveResult::default(),
            now: START,
            rng,
            plan,
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(TimeBudget::from_micros(STEP_MICROS));
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (node, message) = entry.remove();
            self.receive(node, message);
        }
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (request, has_failed) = entry.remove();
            self.end_run(&request, has_failed);
        }
        for route in 0..self.plan.rates.len() {
            self.arrive(route);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].next_tick.has_passed(self.now) {
                self.nodes[node].next_tick = self.now.after(TICK);
                self.tick(node);
            }
        }
    }

    fn elapsed(&self) -> TimeBudget {
        START.elapsed(self.now)
    }

    fn arrive(&mut self, route: usize) {
        let is_late = self.elapsed().as_micros() * 2 > self.plan.span.as_micros();
        let factor = if is_late { self.plan.burst } else { 1.0 };
        let mean = self.plan.rates[route] * factor * STEP_MICROS as f64 / 1e6;
        // Poisson arrivals by exponential gaps.
        let mut gap = -self.rng.random::<f64>().max(1e-12).ln();
        while gap < mean {
            let node = self.rng.random_range(0..self.nodes.len());
            self.send(node, route);
            gap -= self.rng.random::<f64>().max(1e-12).ln();
        }
    }

    fn send(&mut self, node: usize, route: usize) {
        let is_counted = !self.record.by.has_passed(self.now);
        self.result.all += usize::from(is_counted);
        let draw = self.rng.random();
        let mut tried = Vec::new();
        for _ in 0..2 {
            let entry = &mut self.nodes[node];
            let split = entry
                .table
                .version_split(&self.service, &self.routes[route], self.now);
            let criteria = SelectionCriteria {
                service: &self.service,
                versions: match tried.is_empty() {
                    true => split.choose(draw),
                    false => split.choose_again(draw),
                },
                data_centre: &self.centres[entry.data_centre],
                spill_order: &self.centres,
                tried: &tried,
                latency_target: None,
            };
            let Some(location) = entry.balancer.select(self.now, &criteria, &mut self.rng) else {
                return;
            };
            let server = self
                .names
                .iter()
                .position(|name| *name == location.backend)
                .expect("is known");
            let request = FleetRequest {
                node,
                route,
                server,
                sent_at: self.now,
            };
            if self.submit(request.clone()) {
                return;
            }
            self.report(&request, AttemptOutcome::Shed, OutcomeClass::NotRun);
            tried.push(location.backend);
        }
    }

    /// Returns whether the server runs or queues the request.
    fn submit(&mut self, request: FleetRequest) -> bool {
        let server = request.server;
        if server >= self.plan.servers {
            if !self.record.by.has_passed(self.now) {
                self.result.on_new += 1;
            }
            let is_late = self.stop_by.is_some_and(|by| by.has_passed(self.now));
            self.result.late += usize::from(is_late);
        }
        if self.servers[server].running < SLOTS {
            self.start_run(request);
            return true;
        }
        if self.servers[server].waiting.len() >= QUEUE {
            return false;
        }
        self.servers[server].waiting.push_back(request);
        true
    }

    fn start_run(&mut self, request: FleetRequest) {
        let server = request.server;
        self.servers[server].running += 1;
        let has_failed = self.draw_failure(server);
        // The sum of two exponentials varies about as much as the work of real requests.
        let halves = [0, 1].map(|_| -self.rng.random::<f64>().max(1e-9).ln());
        let millis = self.plan.work_ms * (halves[0] + halves[1]) / 2.0;
        let end = self
            .now
            .after(TimeBudget::from_micros((millis * 1e3) as u64));
        self.sequence += 1;
        self.ends
            .insert((end, self.sequence), (request, has_failed));
    }

    fn draw_failure(&mut self, server: usize) -> bool {
        let is_new = server >= self.plan.servers;
        let second = self.elapsed().as_secs_f64();
        let is_from = |from: u64| second >= from as f64;
        let share = match self.plan.fault {
            VersionFault::UnderLoad(share)
                if is_new && self.servers[server].running * 2 >= SLOTS =>
            {
                share
            }
            VersionFault::From(share, from) if is_new && is_from(from) => share,
            VersionFault::WholeService(share, from) if is_from(from) => share,
            VersionFault::SickServer if server == self.plan.servers => 0.5,
            _ => USUAL_FAILURES,
        };
        self.rng.random_bool(share)
    }

    fn end_run(&mut self, request: &FleetRequest, has_failed: bool) {
        let server = request.server;
        self.servers[server].running -= 1;
        if server >= self.plan.servers && has_failed {
            self.bad_answers += 1;
            if self.bad_answers == BAD_ANSWERS {
                self.stop_by = Some(self.now.after(STOP_TIME));
            }
        }
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.start_run(next);
        }
        let (outcome, class) = match has_failed {
            true => (AttemptOutcome::Failed, OutcomeClass::Failed),
            false => (AttemptOutcome::Served, OutcomeClass::Served),
        };
        self.report(request, outcome, class);
    }

    fn report(&mut self, request: &FleetRequest, outcome: AttemptOutcome, class: OutcomeClass) {
        let latency = request.sent_at.elapsed(self.now);
        let backend = self.names[request.server].clone();
        let node = &mut self.nodes[request.node];
        node.balancer
            .record_outcome(self.now, &self.service, &backend, outcome, latency);
        let report = OutcomeReport {
            service: self.service.clone(),
            route: self.routes[request.route].clone(),
            version: self.versions[request.server / self.plan.servers].clone(),
            backend,
            class,
            latency,
            is_in_slow_start: false,
        };
        node.table.record_outcome(&report, self.now);
    }

    fn tick(&mut self, node: usize) {
        let (servers, now) = (self.plan.servers, self.now);
        let table = &mut self.nodes[node].table;
        table.set_server_count(&self.service, servers, now);
        let marks = table.tick(now);
        for (_, mark) in marks {
            self.result
                .marked_after
                .get_or_insert(START.elapsed(self.now));
            let figures = &mut self.result.figures;
            figures.get_or_insert_with(|| mark.figures.to_string());
            if self.record.state == MoveState::Running {
                self.record.state = MoveState::TakenBack;
            }
            let all: Vec<usize> = (0..self.nodes.len()).collect();
            self.broadcast(&all, || Message::Mark(mark.clone()));
        }
        self.send_evidence(node);
        self.send_view(node);
        if self.record.state == MoveState::Running
            && self.nodes[node].table.is_done(&self.service, self.now)
        {
            self.finish(node);
        }
    }

    fn judges(&self, is_included: impl Fn(usize) -> bool) -> Vec<usize> {
        let judges = 0..(JUDGES * self.plan.data_centres).min(self.nodes.len());
        judges
            .filter(|judge| is_included(self.nodes[*judge].data_centre))
            .collect()
    }

    fn send_evidence(&mut self, node: usize) {
        let Some(own) = self.nodes[node].table.local_evidence(&self.service) else {
            return;
        };
        let own = own.clone();
        let home = self.nodes[node].data_centre;
        let local = self.judges(|centre| centre == home);
        self.broadcast(&local, || Message::Evidence(own.clone()));
        if !self.nodes[node].next_remote.has_passed(self.now) {
            return;
        }
        self.nodes[node].next_remote = self.now.after(REMOTE_INTERVAL);
        if let Some(sum) = self.nodes[node].table.data_centre_evidence(&self.service) {
            let remote = self.judges(|centre| centre != home);
            self.broadcast(&remote, || Message::Evidence(sum.clone()));
        }
    }

    fn send_view(&mut self, node: usize) {
        let entry = &self.nodes[node];
        let Some(view) = entry.table.local_view(&self.service).cloned() else {
            return;
        };
        let needed = entry
            .table
            .plan(&self.service)
            .map_or(0, SharePlan::required_requests);
        let is_due = entry.sent_view.as_ref().is_none_or(|sent| {
            sent.taken_at.after(VIEW_INTERVAL).has_passed(self.now)
                || view.differs_from(sent, needed)
        });
        if !is_due {
            return;
        }
        self.nodes[node].sent_view = Some(view.clone());
        let centre = self.centres[self.nodes[node].data_centre].clone();
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.broadcast(&all, || Message::View(centre.clone(), view.clone()));
    }

    /// Ends the move; the old servers stop at once.
    fn finish(&mut self, node: usize) {
        self.result
            .done_after
            .get_or_insert(START.elapsed(self.now));
        self.record.state = MoveState::Done;
        let record = self.record.clone();
        let now = self.now;
        self.nodes[node].table.merge_record(record.clone(), now);
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.broadcast(&all, || Message::Record(Box::new(record.clone())));
        let rows: Vec<MemberRow> = (self.plan.servers..self.names.len())
            .map(|server| {
                let centre = &self.centres[server % self.centres.len()];
                let version = self.versions[1].clone();
                member_row(&self.service, &self.names[server], version, centre)
            })
            .collect();
        for entry in &mut self.nodes {
            entry.balancer.sync(now, rows.iter(), |_| TimeBudget::ZERO);
        }
    }

    fn broadcast(&mut self, receivers: &[usize], message: impl Fn() -> Message) {
        for receiver in receivers {
            let delay = TimeBudget::from_micros(self.rng.random_range(DELAY_MICROS));
            self.sequence += 1;
            let key = (self.now.after(delay), self.sequence);
            self.messages.insert(key, (*receiver, message()));
        }
    }

    fn receive(&mut self, node: usize, message: Message) {
        let table = &mut self.nodes[node].table;
        match message {
            Message::Evidence(evidence) => table.merge_evidence(&self.service, &evidence, self.now),
            Message::View(centre, view) => table.merge_view(&self.service, &centre, view),
            Message::Mark(mark) => {
                table.merge_mark(&self.service, mark);
            }
            Message::Record(record) => {
                table.merge_record(*record, self.now);
            }
        }
    }
}

fn member_row(
    service: &ServiceName,
    backend: &BackendName,
    version: BuildVersion,
    centre: &DataCentre,
) -> MemberRow {
    let node: NodeName = name(&format!("beside-{backend}"));
    MemberRow {
        node,
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: centre.clone(),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: vec![BackendRow {
            name: backend.clone(),
            incarnation: BackendIncarnation::default(),
            service: service.clone(),
            version,
            slots: SlotCount::new(SLOTS as u32),
            state: BackendState::Serving,
            is_reported_healthy: true,
            limit: StatedLimit::default(),
            cold_until: None,
            times: BTreeMap::new(),
        }],
    }
}
