use std::{collections::BTreeMap, sync::Arc};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::{AttemptToken, BackendName, BuildVersion, MoveNumber, RouteName, ServiceName},
    rollout::{
        FULL_SHARE, MoveMark, MoveRecord, MoveState, OutcomeClass, OutcomeReport, ShareCurve,
        SharePlan,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    FaultKind, PolicyKind, TrialWorkload,
    sample::{bernoulli, lognormal, poisson},
    trial_node::{TrialMessage, TrialNode},
    window_limits::WindowLimits,
};

const STEP: TimeBudget = TimeBudget::from_millis(50);
const TICK: TimeBudget = TimeBudget::from_millis(500);
const START: ClockInstant = ClockInstant::from_millis(1_000_000_000);
/// A trial ends after 1.5 times the move's duration.
const MAX_HALF_DURATIONS: u64 = 3;
const WARM_UP_TIME: TimeBudget = TimeBudget::from_secs(30);
const SERVER_DOWNTIME: TimeBudget = TimeBudget::from_secs(5);
const NODE_DOWNTIME: TimeBudget = TimeBudget::from_secs(10);
const LOCAL_DELAY_MICROS: std::ops::Range<u64> = 20_000..300_000;
const REMOTE_DELAY_MICROS: std::ops::Range<u64> = 50_000..900_000;
const VIEW_INTERVAL: TimeBudget = TimeBudget::from_secs(3);
const JUDGES_PER_DATA_CENTRE: usize = 2;
// Indexes of the two versions, also called sides, in arrays of pairs.
const OLD: usize = 0;
const NEW: usize = 1;

/// Simulation of one version move from start to end.
#[derive(Clone, Debug)]
pub struct MoveTrial {
    /// Traffic, nodes and the requested move.
    pub workload: TrialWorkload,
    /// Injected fault.
    pub fault: FaultKind,
    /// Share of requests that fail, or factor by which requests are slower.
    pub severity: f64,
    /// Rollout policy.
    pub policy: PolicyKind,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Outcome of a trial.
#[derive(Clone, Debug, Default)]
pub struct TrialResult {
    /// Time from the start of the move until it was done.
    pub done_after: Option<TimeBudget>,
    /// Time from the start of the move until the first node marked it as rolled back.
    pub rolled_back_after: Option<TimeBudget>,
    /// Whether the move was done by its deadline.
    pub is_on_time: bool,
    /// Requests failed or slowed by the injected fault.
    pub affected_requests: u64,
    /// Time from the first request with the fault to the last request sent to the new version.
    pub fault_duration: Option<TimeBudget>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TrialServer {
    down_until: ClockInstant,
    warm_at: Option<ClockInstant>,
}

struct TrialState<'a> {
    trial: &'a MoveTrial,
    rng: StdRng,
    now: ClockInstant,
    service: ServiceName,
    routes: Vec<RouteName>,
    versions: [BuildVersion; 2],
    backend_names: Vec<[BackendName; 2]>,
    servers: Vec<[TrialServer; 2]>,
    nodes: Vec<TrialNode>,
    /// Messages in transit with the index of their receiver, by delivery time and send order.
    messages: BTreeMap<(ClockInstant, u64), (usize, TrialMessage)>,
    message_count: u64,
    record: MoveRecord,
    curve: ShareCurve,
    limits: WindowLimits,
    half_share_at: Option<ClockInstant>,
    full_share_at: Option<ClockInstant>,
    first_fault_at: Option<ClockInstant>,
    last_new_request_at: Option<ClockInstant>,
    marked_at: Option<ClockInstant>,
    done_at: Option<ClockInstant>,
    affected_requests: u64,
}

impl MoveTrial {
    /// Runs the simulation.
    #[must_use]
    pub fn run(&self) -> TrialResult {
        let mut state = TrialState::new(self);
        let duration = self.workload.duration.as_micros();
        let end = START.after(TimeBudget::from_micros(duration * MAX_HALF_DURATIONS / 2));
        while state.now < end && !state.is_finished() {
            state.step();
        }
        state.result()
    }
}

impl<'a> TrialState<'a> {
    fn new(trial: &'a MoveTrial) -> Self {
        let mut rng = StdRng::seed_from_u64(trial.seed);
        let workload = &trial.workload;
        let service: ServiceName = "tracker".parse().expect("generated name is valid");
        let versions: [BuildVersion; 2] =
            ["v1", "v2"].map(|version| version.parse().expect("generated name is valid"));
        let record = MoveRecord {
            service: service.clone(),
            number: MoveNumber::new(1),
            from: versions[OLD].clone(),
            to: versions[NEW].clone(),
            start: START,
            by: START.after(workload.duration),
            rule: workload.rule.clone(),
            state: MoveState::Running,
            attempt: AttemptToken::new(1),
            statement: None,
            mark: None,
            barred: Vec::new(),
            earlier: Vec::new(),
        };
        let backend_name = |centre, side| {
            format!("b{centre}-{side}")
                .parse()
                .expect("generated name is valid")
        };
        let mut nodes = Vec::new();
        for centre in 0..workload.data_centres {
            for index in 0..workload.nodes_per_data_centre {
                let offset = TimeBudget::from_micros(rng.random_range(0..TICK.as_micros()));
                let mut node = TrialNode::new(centre, index, START.after(offset));
                node.table.merge_record(record.clone(), START);
                nodes.push(node);
            }
        }
        Self {
            trial,
            rng,
            now: START,
            service,
            routes: workload
                .routes
                .iter()
                .map(|route| route.route.parse().expect("generated name is valid"))
                .collect(),
            versions,
            backend_names: (0..workload.data_centres)
                .map(|centre| [backend_name(centre, OLD), backend_name(centre, NEW)])
                .collect(),
            servers: vec![[TrialServer::default(); 2]; workload.data_centres],
            nodes,
            messages: BTreeMap::new(),
            message_count: 0,
            curve: ShareCurve::for_move(&record),
            record,
            limits: WindowLimits::default(),
            half_share_at: None,
            full_share_at: None,
            first_fault_at: None,
            last_new_request_at: None,
            marked_at: None,
            done_at: None,
            affected_requests: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.deliver_messages();
        self.crash_nodes();
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_alive(self.now) {
                self.run_node(node);
            }
        }
        if self.trial.policy == PolicyKind::MergedWindow {
            self.check_window_limits();
        }
    }

    /// Returns the elapsed share of the move's duration.
    fn elapsed_share(&self) -> f64 {
        START.elapsed(self.now).as_secs_f64() / self.trial.workload.duration.as_secs_f64()
    }

    fn is_finished(&self) -> bool {
        let settle = TimeBudget::from_secs(10);
        let has_settled =
            |at: Option<ClockInstant>| at.is_some_and(|at| at.after(settle) <= self.now);
        has_settled(self.marked_at) || has_settled(self.done_at)
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, message) = entry.remove();
            let node = &mut self.nodes[to];
            if node.is_alive(self.now) {
                node.receive(&self.service, message, self.now);
            }
        }
    }

    fn crash_nodes(&mut self) {
        let is_halfway =
            self.elapsed_share() >= 0.5 && self.elapsed_share() - 0.5 < STEP.as_secs_f64() / 100.0;
        if self.trial.fault != FaultKind::GoodNodesDie || !is_halfway {
            return;
        }
        let until = self.now.after(NODE_DOWNTIME);
        for node in self.nodes.iter_mut().step_by(3) {
            // The halfway window can span several steps; each node crashes once.
            if node.incarnation == 1 {
                node.crash(until);
                node.table.merge_record(self.record.clone(), self.now);
            }
        }
    }

    fn run_node(&mut self, node: usize) {
        for route in 0..self.routes.len() {
            let route_load = &self.trial.workload.routes[route];
            let nodes = self.nodes.len() as f64;
            let mean = route_load.rate * self.rate_factor() * STEP.as_secs_f64() / nodes;
            for _ in 0..poisson(&mut self.rng, mean) {
                self.send_request(node, route);
            }
        }
        if self.nodes[node].next_tick <= self.now {
            self.nodes[node].next_tick = self.now.after(TICK);
            self.tick_node(node);
        }
    }

    fn rate_factor(&self) -> f64 {
        match self.trial.fault {
            FaultKind::GoodLoadDoubles if self.elapsed_share() > 0.5 => 2.0,
            FaultKind::FewRequests => 0.05,
            _ => 1.0,
        }
    }

    fn tick_node(&mut self, node: usize) {
        let follows_table = matches!(
            self.trial.policy,
            PolicyKind::PerNode | PolicyKind::MergedSequential
        );
        let is_judge = self.trial.policy == PolicyKind::PerNode || self.is_judge(node);
        let service = self.service.clone();
        self.nodes[node].table.set_judge(&service, is_judge);
        let marks = self.nodes[node].table.tick(self.now);
        if !follows_table {
            self.finish_by_schedule();
            return;
        }
        for (_, mark) in marks {
            self.marked_at.get_or_insert(self.now);
            self.write_rollback(&mark, node);
            self.send_all(node, &TrialMessage::Mark(mark));
        }
        if self.trial.policy == PolicyKind::MergedSequential {
            self.send_evidence(node);
        }
        self.finish_if_done(node);
    }

    /// Returns whether a node is one of the first two living nodes of its data centre.
    fn is_judge(&self, node: usize) -> bool {
        let centre = self.nodes[node].centre_index;
        let local_nodes = (0..node).filter(|other| self.nodes[*other].centre_index == centre);
        let living = local_nodes.filter(|other| self.nodes[*other].is_alive(self.now));
        living.count() < JUDGES_PER_DATA_CENTRE
    }

    /// Sends a node's evidence to the judges of its data centre, and the data centre's total to the
    /// judges of the others, with a view if one is due.
    fn send_evidence(&mut self, node: usize) {
        let table = &self.nodes[node].table;
        let Some(own) = table.local_evidence(&self.service) else {
            return;
        };
        let own = TrialMessage::Evidence(Arc::new(own.clone()));
        let centre = self.nodes[node].centre_index;
        let local_judges = self.judges(|other| other == centre);
        self.send_to(node, &local_judges, &own);
        let Some(sum) = self.nodes[node].table.data_centre_evidence(&self.service) else {
            return;
        };
        let remote_judges = self.judges(|other| other != centre);
        self.send_to(node, &remote_judges, &TrialMessage::Evidence(Arc::new(sum)));
        self.send_view(node);
    }

    fn send_view(&mut self, node: usize) {
        let sender = &self.nodes[node];
        let Some(view) = sender.table.local_view(&self.service) else {
            return;
        };
        let required_requests = sender
            .table
            .plan(&self.service)
            .map_or(0, SharePlan::required_requests);
        let is_due = sender.sent_view.as_ref().is_none_or(|sent_view| {
            let is_stale = sent_view.taken_at.after(VIEW_INTERVAL).has_passed(self.now);
            is_stale || view.differs_from(sent_view, required_requests)
        });
        if !is_due {
            return;
        }
        let view = Arc::new(view.clone());
        let centre = sender.data_centre.clone();
        self.nodes[node].sent_view = Some(Arc::clone(&view));
        self.send_all(node, &TrialMessage::View(centre, view));
    }

    fn judges(&self, is_included: impl Fn(usize) -> bool) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| is_included(self.nodes[*node].centre_index) && self.is_judge(*node))
            .collect()
    }

    /// Writes the rollback to the record, as the platform's compare-and-set would.
    fn write_rollback(&mut self, mark: &MoveMark, node: usize) {
        if self.record.state == MoveState::Running && !self.is_isolated(node) {
            self.record.state = MoveState::TakenBack;
            self.record.mark = Some(mark.clone());
        }
    }

    fn finish_if_done(&mut self, node: usize) {
        let is_done = self.nodes[node].table.is_done(&self.service, self.now);
        let may_write = self.record.state == MoveState::Running && !self.is_isolated(node);
        if is_done && may_write {
            self.record.state = MoveState::Done;
            self.done_at = Some(self.now);
            let record = self.record.clone();
            self.nodes[node]
                .table
                .merge_record(record.clone(), self.now);
            self.send_all(node, &TrialMessage::Record(Box::new(record)));
        }
    }

    fn finish_by_schedule(&mut self) {
        let hold = self.trial.workload.rule.hold;
        if self.marked_at.is_none() && self.curve.full_share_at.after(hold).has_passed(self.now) {
            self.done_at.get_or_insert(self.now);
        }
    }

    fn check_window_limits(&mut self) {
        let millis = self.now.as_millis();
        let is_tick = millis.is_multiple_of(TICK.as_millis());
        if is_tick && self.done_at.is_none() && self.limits.is_exceeded(self.now) {
            self.marked_at.get_or_insert(self.now);
        }
    }

    fn is_isolated(&self, node: usize) -> bool {
        let is_middle_half = (0.25..0.75).contains(&self.elapsed_share());
        self.trial.fault == FaultKind::CutOff
            && is_middle_half
            && self.nodes[node].centre_index == 0
    }

    fn send_all(&mut self, from: usize, message: &TrialMessage) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.send_to(from, &all, message);
    }

    fn send_to(&mut self, from: usize, receivers: &[usize], message: &TrialMessage) {
        for &to in receivers {
            let is_remote = self.nodes[from].centre_index != self.nodes[to].centre_index;
            let is_blocked = is_remote && (self.is_isolated(from) || self.is_isolated(to));
            if to == from || is_blocked {
                continue;
            }
            let delays = if is_remote {
                REMOTE_DELAY_MICROS
            } else {
                LOCAL_DELAY_MICROS
            };
            let delay = TimeBudget::from_micros(self.rng.random_range(delays));
            self.message_count += 1;
            let key = (self.now.after(delay), self.message_count);
            self.messages.insert(key, (to, message.clone()));
        }
    }

    fn send_request(&mut self, node: usize, route: usize) {
        let (side, share) = self.choose_side(node, route);
        let is_first = route == 0 && self.nodes[node].is_alive(self.now);
        if is_first && share >= ShareRatio::from_ppm(500_000) {
            self.half_share_at.get_or_insert(self.now);
        }
        if is_first && share >= FULL_SHARE {
            self.full_share_at.get_or_insert(self.now);
        }
        let centre = self.nodes[node].centre_index;
        let Some((side, centre)) = self.find_server(side, centre) else {
            return;
        };
        let report = self.run_request(side, centre, route, share);
        let is_evidence = report.class.is_evidence();
        if side == NEW {
            self.last_new_request_at = Some(self.now);
        }
        if is_evidence {
            let failed = report.class.is_failure();
            self.limits
                .record(route, side == NEW, failed, report.latency, self.now);
        }
        self.nodes[node].table.record_outcome(&report, self.now);
    }

    fn choose_side(&mut self, node: usize, route: usize) -> (usize, ShareRatio) {
        let table = &self.nodes[node].table;
        let point: u64 = self.rng.random();
        match self.trial.policy {
            PolicyKind::FixedSchedule | PolicyKind::MergedWindow => {
                let share = match self.marked_at {
                    Some(_) => ShareRatio::NONE,
                    None => self.curve.share_at(self.now),
                };
                let ppm = u64::from(ShareRatio::ALL.as_ppm());
                let is_new = point % ppm < u64::from(share.as_ppm());
                (usize::from(is_new), share)
            }
            PolicyKind::PerNode | PolicyKind::MergedSequential => {
                let split = table.version_split(&self.service, &self.routes[route], self.now);
                let choice = split.choose(point);
                let is_new = choice.preferred == Some(&self.versions[NEW]);
                (usize::from(is_new), split.share())
            }
        }
    }

    /// Finds a server of the version in the local data centre, then in the others, then a local
    /// server of the old version.
    fn find_server(&self, side: usize, centre: usize) -> Option<(usize, usize)> {
        let is_up =
            |side: usize, centre: usize| self.servers[centre][side].down_until.has_passed(self.now);
        if is_up(side, centre) {
            return Some((side, centre));
        }
        let other = (0..self.servers.len()).find(|other| is_up(side, *other));
        other
            .map(|other| (side, other))
            .or_else(|| is_up(OLD, centre).then_some((OLD, centre)))
    }

    fn run_request(
        &mut self,
        side: usize,
        centre: usize,
        route: usize,
        share: ShareRatio,
    ) -> OutcomeReport {
        let now = self.now;
        let server = &mut self.servers[centre][side];
        let warm_at = *server.warm_at.get_or_insert(now.after(WARM_UP_TIME));
        let is_cold = side == NEW && !warm_at.has_passed(now);
        let workload = &self.trial.workload;
        let median = workload.routes[route].median_latency_us;
        let mut latency_us = lognormal(&mut self.rng, median, workload.latency_sigma);
        let mut class = OutcomeClass::Served;
        if bernoulli(&mut self.rng, workload.failure_rate) {
            class = OutcomeClass::Failed;
        }
        if self.is_faulty(side, centre, route, share) {
            self.apply_fault(side, centre, &mut class, &mut latency_us);
        }
        let is_middle_fifth = (0.4..0.6).contains(&self.elapsed_share());
        match self.trial.fault {
            FaultKind::WholeServiceSlow if is_middle_fifth => latency_us *= 3.0,
            FaultKind::WholeServiceFails if is_middle_fifth && bernoulli(&mut self.rng, 0.2) => {
                class = OutcomeClass::Failed;
            }
            FaultKind::ColdServers if is_cold => latency_us *= 5.0,
            FaultKind::CallerMistakes if side == NEW && bernoulli(&mut self.rng, 0.3) => {
                class = OutcomeClass::CallerMistake;
            }
            _ => {}
        }
        OutcomeReport {
            service: self.service.clone(),
            route: self.routes[route].clone(),
            version: self.versions[side].clone(),
            backend: self.backend_names[centre][side].clone(),
            class,
            latency: TimeBudget::from_micros(latency_us as u64),
            is_in_slow_start: is_cold,
        }
    }

    fn is_faulty(&self, side: usize, centre: usize, route: usize, share: ShareRatio) -> bool {
        let after = |at: Option<ClockInstant>, secs| {
            at.is_some_and(|at| at.after(TimeBudget::from_secs(secs)).has_passed(self.now))
        };
        let is_rare_route = route + 1 == self.routes.len();
        let is_active = match self.trial.fault {
            FaultKind::FailsAtOnce | FaultKind::SlowsAtOnce | FaultKind::Crashes => true,
            FaultKind::FailsLater | FaultKind::SlowsLater => after(self.half_share_at, 0),
            FaultKind::FailsAfterAll | FaultKind::SlowsAfterAll => after(self.full_share_at, 5),
            FaultKind::FailsUnderLoad => share > ShareRatio::from_ppm(600_000),
            FaultKind::FailsOnOneRoute | FaultKind::SlowsOnOneRoute => is_rare_route,
            FaultKind::SickServer => centre == 0,
            _ => false,
        };
        is_active && side == NEW
    }

    fn apply_fault(
        &mut self,
        side: usize,
        centre: usize,
        class: &mut OutcomeClass,
        latency_us: &mut f64,
    ) {
        let severity = self.trial.severity;
        if self.trial.fault.is_slowdown() {
            *latency_us *= severity;
        } else if !bernoulli(&mut self.rng, severity) {
            // The fault is active from here on, although it spares this request.
            self.first_fault_at.get_or_insert(self.now);
            return;
        } else if self.trial.fault == FaultKind::Crashes {
            self.servers[centre][side].down_until = self.now.after(SERVER_DOWNTIME);
            *class = OutcomeClass::Crashed;
        } else {
            *class = OutcomeClass::Failed;
        }
        self.first_fault_at.get_or_insert(self.now);
        self.affected_requests += 1;
    }

    fn result(&self) -> TrialResult {
        let since = |at: ClockInstant| START.elapsed(at);
        let is_rolled_back = self.marked_at.is_some();
        let done = self.done_at.filter(|_| !is_rolled_back);
        let fault_duration = match (self.first_fault_at, self.last_new_request_at) {
            (Some(first), Some(last)) => Some(first.elapsed(last)),
            _ => None,
        };
        TrialResult {
            done_after: done.map(since),
            rolled_back_after: self.marked_at.map(since),
            is_on_time: done.is_some_and(|at| at <= self.record.by),
            affected_requests: self.affected_requests,
            fault_duration,
        }
    }
}
