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
    FaultKind, PolicyKind, Workload,
    sample::{chance, lognormal, poisson},
    trial_node::{TrialMessage, TrialNode},
    window_limits::WindowLimits,
};

const STEP: TimeBudget = TimeBudget::from_millis(50);
const TICK: TimeBudget = TimeBudget::from_millis(500);
const START: ClockInstant = ClockInstant::from_millis(1_000_000_000);
const EXTRA: u64 = 3;
const WARM_TIME: TimeBudget = TimeBudget::from_secs(30);
const CRASH_TIME: TimeBudget = TimeBudget::from_secs(5);
const RETURN_TIME: TimeBudget = TimeBudget::from_secs(10);
const NEAR_DELAY_MICROS: std::ops::Range<u64> = 20_000..300_000;
const FAR_DELAY_MICROS: std::ops::Range<u64> = 50_000..900_000;
const VIEW_TIME: TimeBudget = TimeBudget::from_secs(3);
const JUDGES: usize = 2;
const OLD: usize = 0;
const NEW: usize = 1;

/// One version move from start to end.
#[derive(Clone, Debug)]
pub struct MoveTrial {
    /// Traffic, nodes and the move that is asked for.
    pub workload: Workload,
    /// What goes wrong.
    pub fault: FaultKind,
    /// Share of requests that fail, or factor by which they are slower.
    pub size: f64,
    /// Way in which the move is decided.
    pub policy: PolicyKind,
    /// Seed of every random draw.
    pub seed: u64,
}

/// How a trial ended.
#[derive(Clone, Debug, Default)]
pub struct TrialResult {
    /// When the move was done, since its start.
    pub done_after: Option<TimeBudget>,
    /// When the first node marked the move as taken back, since its start.
    pub taken_back_after: Option<TimeBudget>,
    /// Whether it was done by its time.
    pub is_on_time: bool,
    /// Requests that the new version failed or slowed.
    pub harmed: u64,
    /// Time from the fault's first request to the last request sent to the new version.
    pub fault_time: Option<TimeBudget>,
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
    names: Vec<[BackendName; 2]>,
    servers: Vec<[TrialServer; 2]>,
    nodes: Vec<TrialNode>,
    messages: BTreeMap<(ClockInstant, u64), (usize, TrialMessage)>,
    sent: u64,
    row: MoveRecord,
    curve: ShareCurve,
    limits: WindowLimits,
    half_at: Option<ClockInstant>,
    whole_at: Option<ClockInstant>,
    first_harm: Option<ClockInstant>,
    last_new: Option<ClockInstant>,
    marked_at: Option<ClockInstant>,
    done_at: Option<ClockInstant>,
    harmed: u64,
}

impl MoveTrial {
    /// Runs the trial.
    #[must_use]
    pub fn run(&self) -> TrialResult {
        let mut state = TrialState::new(self);
        let span = self.workload.span.as_micros();
        let end = START.after(TimeBudget::from_micros(span * EXTRA / 2));
        while state.now < end && !state.is_over() {
            state.step();
        }
        state.result()
    }
}

impl<'a> TrialState<'a> {
    fn new(trial: &'a MoveTrial) -> Self {
        let mut rng = StdRng::seed_from_u64(trial.seed);
        let load = &trial.workload;
        let service: ServiceName = "tracker".parse().expect("a name");
        let versions: [BuildVersion; 2] = ["v1", "v2"].map(|name| name.parse().expect("a name"));
        let row = MoveRecord {
            service: service.clone(),
            number: MoveNumber::new(1),
            from: versions[OLD].clone(),
            to: versions[NEW].clone(),
            start: START,
            by: START.after(load.span),
            rule: load.rule.clone(),
            state: MoveState::Running,
            attempt: AttemptToken::new(1),
            statement: None,
            mark: None,
            barred: Vec::new(),
        };
        let name = |centre, side| format!("b{centre}-{side}").parse().expect("a name");
        let mut nodes = Vec::new();
        for centre in 0..load.data_centres {
            for index in 0..load.nodes {
                let offset = TimeBudget::from_micros(rng.random_range(0..TICK.as_micros()));
                let mut node = TrialNode::new(centre, index, START.after(offset));
                node.table.merge_record(row.clone(), START);
                nodes.push(node);
            }
        }
        Self {
            trial,
            rng,
            now: START,
            service,
            routes: load
                .routes
                .iter()
                .map(|route| route.route.parse().expect("a name"))
                .collect(),
            versions,
            names: (0..load.data_centres)
                .map(|centre| [name(centre, OLD), name(centre, NEW)])
                .collect(),
            servers: vec![[TrialServer::default(); 2]; load.data_centres],
            nodes,
            messages: BTreeMap::new(),
            sent: 0,
            curve: ShareCurve::for_move(&row),
            row,
            limits: WindowLimits::default(),
            half_at: None,
            whole_at: None,
            first_harm: None,
            last_new: None,
            marked_at: None,
            done_at: None,
            harmed: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.deliver();
        self.lose_nodes();
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_alive(self.now) {
                self.run_node(node);
            }
        }
        if self.trial.policy == PolicyKind::MergedWindow {
            self.check_limits();
        }
    }

    /// Part of the move's time that has gone by.
    fn part(&self) -> f64 {
        START.elapsed(self.now).as_secs_f64() / self.trial.workload.span.as_secs_f64()
    }

    fn is_over(&self) -> bool {
        let settle = TimeBudget::from_secs(10);
        let over = |at: Option<ClockInstant>| at.is_some_and(|at| at.after(settle) <= self.now);
        over(self.marked_at) || over(self.done_at)
    }

    fn deliver(&mut self) {
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

    fn lose_nodes(&mut self) {
        let is_time = self.part() >= 0.5 && self.part() - 0.5 < STEP.as_secs_f64() / 100.0;
        if self.trial.fault != FaultKind::GoodNodesDie || !is_time {
            return;
        }
        let until = self.now.after(RETURN_TIME);
        for node in self.nodes.iter_mut().step_by(3) {
            if node.incarnation == 1 {
                node.die(until);
                node.table.merge_record(self.row.clone(), self.now);
            }
        }
    }

    fn run_node(&mut self, node: usize) {
        for route in 0..self.routes.len() {
            let load = &self.trial.workload.routes[route];
            let nodes = self.nodes.len() as f64;
            let mean = load.rate * self.rate_factor() * STEP.as_secs_f64() / nodes;
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
            FaultKind::GoodLoadDoubles if self.part() > 0.5 => 2.0,
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
            self.finish_by_time();
            return;
        }
        for (_, mark) in marks {
            self.marked_at.get_or_insert(self.now);
            self.take_back(&mark, node);
            self.send_all(node, &TrialMessage::Mark(mark));
        }
        if self.trial.policy == PolicyKind::MergedSequential {
            self.tell(node);
        }
        self.finish_if_done(node);
    }

    /// Returns whether a node is one of the first two living ones of its data centre.
    fn is_judge(&self, node: usize) -> bool {
        let centre = self.nodes[node].centre;
        let near = (0..node).filter(|other| self.nodes[*other].centre == centre);
        let before = near.filter(|other| self.nodes[*other].is_alive(self.now));
        before.count() < JUDGES
    }

    /// Sends what a node saw to the judges near, and what a judge knows to the others.
    fn tell(&mut self, node: usize) {
        let table = &self.nodes[node].table;
        let Some(own) = table.local_evidence(&self.service) else {
            return;
        };
        let own = TrialMessage::Evidence(Arc::new(own.clone()));
        let centre = self.nodes[node].centre;
        let near = self.judges(|other| other == centre);
        self.send_to(node, &near, &own);
        let Some(sum) = self.nodes[node].table.data_centre_evidence(&self.service) else {
            return;
        };
        let far = self.judges(|other| other != centre);
        self.send_to(node, &far, &TrialMessage::Evidence(Arc::new(sum)));
        self.tell_view(node);
    }

    fn tell_view(&mut self, node: usize) {
        let held = &self.nodes[node];
        let Some(view) = held.table.local_view(&self.service) else {
            return;
        };
        let needed = held
            .table
            .plan(&self.service)
            .map_or(0, SharePlan::required_requests);
        let is_news = held.told.as_ref().is_none_or(|told| {
            let is_old = told.taken_at.after(VIEW_TIME).has_passed(self.now);
            is_old || view.differs_from(told, needed)
        });
        if !is_news {
            return;
        }
        let view = Arc::new(view.clone());
        let centre = held.data_centre.clone();
        self.nodes[node].told = Some(Arc::clone(&view));
        self.send_all(node, &TrialMessage::View(centre, view));
    }

    fn judges(&self, is_wanted: impl Fn(usize) -> bool) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| is_wanted(self.nodes[*node].centre) && self.is_judge(*node))
            .collect()
    }

    /// Writes the row, as the compare-and-set of the platform's table would.
    fn take_back(&mut self, mark: &MoveMark, node: usize) {
        if self.row.state == MoveState::Running && !self.is_cut_off(node) {
            self.row.state = MoveState::TakenBack;
            self.row.mark = Some(mark.clone());
        }
    }

    fn finish_if_done(&mut self, node: usize) {
        let is_done = self.nodes[node].table.is_done(&self.service, self.now);
        let may_write = self.row.state == MoveState::Running && !self.is_cut_off(node);
        if is_done && may_write {
            self.row.state = MoveState::Done;
            self.done_at = Some(self.now);
            let record = self.row.clone();
            self.nodes[node]
                .table
                .merge_record(record.clone(), self.now);
            self.send_all(node, &TrialMessage::Record(Box::new(record)));
        }
    }

    fn finish_by_time(&mut self) {
        let hold = self.trial.workload.rule.hold;
        if self.marked_at.is_none() && self.curve.full_share_at.after(hold).has_passed(self.now) {
            self.done_at.get_or_insert(self.now);
        }
    }

    fn check_limits(&mut self) {
        let millis = self.now.as_millis();
        let is_time = millis.is_multiple_of(TICK.as_millis());
        if is_time && self.done_at.is_none() && self.limits.is_over(self.now) {
            self.marked_at.get_or_insert(self.now);
        }
    }

    fn is_cut_off(&self, node: usize) -> bool {
        let in_time = (0.25..0.75).contains(&self.part());
        self.trial.fault == FaultKind::CutOff && in_time && self.nodes[node].centre == 0
    }

    fn send_all(&mut self, from: usize, message: &TrialMessage) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.send_to(from, &all, message);
    }

    fn send_to(&mut self, from: usize, receivers: &[usize], message: &TrialMessage) {
        for &to in receivers {
            let crosses = self.nodes[from].centre != self.nodes[to].centre;
            let is_cut = crosses && (self.is_cut_off(from) || self.is_cut_off(to));
            if to == from || is_cut {
                continue;
            }
            let delays = if crosses {
                FAR_DELAY_MICROS
            } else {
                NEAR_DELAY_MICROS
            };
            let delay = TimeBudget::from_micros(self.rng.random_range(delays));
            self.sent += 1;
            let key = (self.now.after(delay), self.sent);
            self.messages.insert(key, (to, message.clone()));
        }
    }

    fn send_request(&mut self, node: usize, route: usize) {
        let (side, share) = self.choose_side(node, route);
        let is_first = route == 0 && self.nodes[node].is_alive(self.now);
        if is_first && share >= ShareRatio::from_ppm(500_000) {
            self.half_at.get_or_insert(self.now);
        }
        if is_first && share >= FULL_SHARE {
            self.whole_at.get_or_insert(self.now);
        }
        let centre = self.nodes[node].centre;
        let Some((side, centre)) = self.find_server(side, centre) else {
            return;
        };
        let report = self.run_request(side, centre, route, share);
        let is_evidence = report.class.is_evidence();
        if side == NEW {
            self.last_new = Some(self.now);
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

    /// Finds a server of the wanted version near first, then of the other version.
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
        let warm_at = *server.warm_at.get_or_insert(now.after(WARM_TIME));
        let is_cold = side == NEW && !warm_at.has_passed(now);
        let load = &self.trial.workload;
        let median = load.routes[route].median_micros;
        let mut micros = lognormal(&mut self.rng, median, load.latency_spread);
        let mut class = OutcomeClass::Served;
        if chance(&mut self.rng, load.usual_failures) {
            class = OutcomeClass::Failed;
        }
        if self.is_faulty(side, centre, route, share) {
            self.harm(side, centre, &mut class, &mut micros);
        }
        let is_part = (0.4..0.6).contains(&self.part());
        match self.trial.fault {
            FaultKind::WholeServiceSlow if is_part => micros *= 3.0,
            FaultKind::WholeServiceFails if is_part && chance(&mut self.rng, 0.2) => {
                class = OutcomeClass::Failed;
            }
            FaultKind::ColdServers if is_cold => micros *= 5.0,
            FaultKind::CallerMistakes if side == NEW && chance(&mut self.rng, 0.3) => {
                class = OutcomeClass::CallerMistake;
            }
            _ => {}
        }
        OutcomeReport {
            service: self.service.clone(),
            route: self.routes[route].clone(),
            version: self.versions[side].clone(),
            backend: self.names[centre][side].clone(),
            class,
            latency: TimeBudget::from_micros(micros as u64),
            is_in_slow_start: is_cold,
        }
    }

    fn is_faulty(&self, side: usize, centre: usize, route: usize, share: ShareRatio) -> bool {
        let after = |at: Option<ClockInstant>, secs| {
            at.is_some_and(|at| at.after(TimeBudget::from_secs(secs)).has_passed(self.now))
        };
        let is_rare = route + 1 == self.routes.len();
        let shows = match self.trial.fault {
            FaultKind::FailsAtOnce | FaultKind::SlowsAtOnce | FaultKind::Crashes => true,
            FaultKind::FailsLater | FaultKind::SlowsLater => after(self.half_at, 0),
            FaultKind::FailsAfterAll | FaultKind::SlowsAfterAll => after(self.whole_at, 5),
            FaultKind::FailsUnderLoad => share > ShareRatio::from_ppm(600_000),
            FaultKind::FailsOnOneRoute | FaultKind::SlowsOnOneRoute => is_rare,
            FaultKind::SickServer => centre == 0,
            _ => false,
        };
        shows && side == NEW
    }

    fn harm(&mut self, side: usize, centre: usize, class: &mut OutcomeClass, micros: &mut f64) {
        let size = self.trial.size;
        if self.trial.fault.is_slow() {
            *micros *= size;
        } else if !chance(&mut self.rng, size) {
            self.first_harm.get_or_insert(self.now);
            return;
        } else if self.trial.fault == FaultKind::Crashes {
            self.servers[centre][side].down_until = self.now.after(CRASH_TIME);
            *class = OutcomeClass::Crashed;
        } else {
            *class = OutcomeClass::Failed;
        }
        self.first_harm.get_or_insert(self.now);
        self.harmed += 1;
    }

    fn result(&self) -> TrialResult {
        let since = |at: ClockInstant| START.elapsed(at);
        let is_taken_back = self.marked_at.is_some();
        let done = self.done_at.filter(|_| !is_taken_back);
        let fault_time = match (self.first_harm, self.last_new) {
            (Some(first), Some(last)) => Some(first.elapsed(last)),
            _ => None,
        };
        TrialResult {
            done_after: done.map(since),
            taken_back_after: self.marked_at.map(since),
            is_on_time: done.is_some_and(|at| at <= self.row.by),
            harmed: self.harmed,
            fault_time,
        }
    }
}
