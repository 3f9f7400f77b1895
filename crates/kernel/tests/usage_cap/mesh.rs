use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use bronzelb_kernel::{
    account::{
        UsageBound, UsageDecision, UsageExchange, UsageNode, UsageRelay, UsageReply, UsageReport,
    },
    clock::{ClockInstant, TimeBudget},
    config::UsageCap,
    ids::{AccountName, IncarnationNumber, NodeName, RequestRate, VersionNumber},
    member::{MemberRow, MemberState, MemberTable},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TICK: TimeBudget = TimeBudget::from_millis(200);
/// As in the daemon: a request that waited this long for a token is refused.
const MAX_WAIT: TimeBudget = TimeBudget::from_secs(1);
const WINDOW: TimeBudget = TimeBudget::from_secs(5);
/// Frame and RPC header of a message, in addition to its encoded fields.
const MESSAGE_OVERHEAD: usize = 40;
/// Instant at which runs start; buckets have filled by then.
pub(crate) const START: ClockInstant = ClockInstant::from_millis(1_000_000);

pub(crate) fn at(millis: u64) -> ClockInstant {
    START.after(TimeBudget::from_millis(millis))
}

pub(crate) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("name is valid")
}

/// Mesh of nodes that enforce caps, with message delays and losses of contact between data centres.
pub(crate) struct Mesh {
    pub(crate) now: ClockInstant,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) accounts: Vec<SimAccount>,
    pub(crate) rng: SmallRng,
    /// Pairs of data centres that have lost each other.
    pub(crate) cuts: Vec<(usize, usize)>,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    data_centres: usize,
    version: VersionNumber,
    tables: BTreeMap<usize, Arc<MemberTable>>,
    events: BinaryHeap<Reverse<(ClockInstant, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    replies: BTreeMap<u64, RelayedReply>,
}

pub(crate) struct SimNode {
    pub(crate) usage: UsageNode,
    pub(crate) is_up: bool,
    /// Messages sent and received.
    pub(crate) messages: u64,
    incarnation: IncarnationNumber,
    waiting: Vec<Waiter>,
}

pub(crate) struct SimAccount {
    pub(crate) name: AccountName,
    pub(crate) cap: UsageCap,
    pub(crate) arrivals: Vec<(ClockInstant, usize)>,
    pub(crate) runs: Vec<ClockInstant>,
    pub(crate) refusals: Vec<ClockInstant>,
    /// Longest wait of a request that ran.
    pub(crate) longest_wait: TimeBudget,
}

#[derive(Clone, Copy)]
struct Waiter {
    account: usize,
    arrived_at: ClockInstant,
    waits_until: Option<ClockInstant>,
}

enum Event {
    Arrive(usize, usize),
    Tick(usize),
    Deliver(usize, UsageExchange),
    Reply(usize, UsageExchange, Option<UsageReply>),
    Relay(u64, usize, UsageRelay),
    RelayReply(u64, usize, UsageRelay, Option<UsageReply>),
    Wake(usize),
    Act(Box<dyn FnOnce(&mut Mesh)>),
}

struct RelayedReply {
    from: usize,
    exchange: UsageExchange,
    reply: UsageReply,
    open: usize,
}

impl Mesh {
    pub(crate) fn new(nodes: usize, data_centres: usize, seed: u64) -> Self {
        let mut table = MemberTable::default();
        let incarnation = IncarnationNumber::new(1);
        for index in 0..nodes {
            table.merge(MemberRow {
                node: name(format!("node-{index}")),
                incarnation,
                revision: 1,
                state: MemberState::Serving,
                data_centre: name(format!("dc-{}", index % data_centres)),
                peer_address: "127.0.0.1:1".parse().expect("address is valid"),
                backends: Vec::new(),
            });
        }
        let table = Arc::new(table);
        let mut mesh = Self {
            now: START,
            nodes: (0..nodes)
                .map(|index| SimNode {
                    usage: UsageNode::new(
                        name(format!("node-{index}")),
                        incarnation,
                        UsageBound::default(),
                    ),
                    is_up: true,
                    messages: 0,
                    incarnation,
                    waiting: Vec::new(),
                })
                .collect(),
            accounts: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            cuts: Vec::new(),
            messages: 0,
            bytes: 0,
            data_centres,
            version: VersionNumber::new(1),
            tables: (0..data_centres)
                .map(|centre| (centre, Arc::clone(&table)))
                .collect(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            replies: BTreeMap::new(),
        };
        for index in 0..nodes {
            let offset = TICK.as_micros() * index as u64 / nodes as u64;
            mesh.schedule(
                START.after(TimeBudget::from_micros(offset)),
                Event::Tick(index),
            );
        }
        mesh
    }

    /// Adds an account whose bucket has been filling for a minute.
    pub(crate) fn add_account(&mut self, rate: f64, burst: u64) -> usize {
        let account = format!("account-{}", self.accounts.len());
        self.accounts.push(SimAccount {
            name: name(account),
            cap: cap(rate, burst),
            arrivals: Vec::new(),
            runs: Vec::new(),
            refusals: Vec::new(),
            longest_wait: TimeBudget::ZERO,
        });
        for index in 0..self.nodes.len() {
            self.now = START.before(TimeBudget::from_secs(60));
            self.version = VersionNumber::new(self.accounts.len() as u64);
            self.sync(index);
        }
        self.now = START;
        self.accounts.len() - 1
    }

    /// Lets requests arrive at random at `rate` a second, at nodes that `pick` draws.
    pub(crate) fn add_load(
        &mut self,
        account: usize,
        rate: f64,
        millis: std::ops::Range<u64>,
        mut pick: impl FnMut(&mut SmallRng) -> usize,
    ) {
        let mut time = millis.start as f64;
        loop {
            time -= (1.0 - self.rng.random::<f64>()).ln() / rate * 1e3;
            if time >= millis.end as f64 {
                return;
            }
            let instant = START.after(TimeBudget::from_micros((time * 1e3) as u64));
            let node = pick(&mut self.rng);
            self.accounts[account].arrivals.push((instant, node));
            self.schedule(instant, Event::Arrive(node, account));
        }
    }

    pub(crate) fn act(&mut self, millis: u64, act: impl FnOnce(&mut Self) + 'static) {
        self.schedule(at(millis), Event::Act(Box::new(act)));
    }

    pub(crate) fn run_until(&mut self, millis: u64) {
        let end = at(millis);
        while let Some(Reverse((instant, id))) = self.events.pop() {
            if instant > end {
                self.events.push(Reverse((instant, id)));
                break;
            }
            self.now = instant;
            if let Some(event) = self.pending.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    pub(crate) fn set_cap(&mut self, account: usize, cap: UsageCap) {
        self.accounts[account].cap = cap;
        self.version = self.version.next();
    }

    /// Changes the members' states as the nodes of `centre` see them.
    pub(crate) fn see(
        &mut self,
        centre: usize,
        state: MemberState,
        is_changed: impl Fn(usize) -> bool,
    ) {
        let mut table = self.tables[&centre].as_ref().clone();
        for index in (0..self.nodes.len()).filter(|index| is_changed(*index)) {
            let node: NodeName = name(format!("node-{index}"));
            let mut row = table.get(&node).expect("node is known").clone();
            row.state = state;
            row.revision += 1;
            row.incarnation = self.nodes[index].incarnation;
            table.merge(row);
        }
        self.tables.insert(centre, Arc::new(table));
    }

    pub(crate) fn see_everywhere(&mut self, state: MemberState, node: usize) {
        for centre in 0..self.data_centres {
            self.see(centre, state, |index| index == node);
        }
    }

    pub(crate) fn stop(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        self.nodes[node].waiting.clear();
    }

    pub(crate) fn start(&mut self, node: usize) {
        let sim = &mut self.nodes[node];
        sim.incarnation = IncarnationNumber::new(self.now.as_micros());
        sim.usage = UsageNode::new(
            name(format!("node-{node}")),
            sim.incarnation,
            UsageBound::default(),
        );
        sim.is_up = true;
    }

    /// Returns the owner of an account while all nodes serve.
    pub(crate) fn owner(&self, account: usize) -> usize {
        let table = &self.tables[&0];
        let account = &self.accounts[account].name;
        let owner = bronzelb_kernel::account::choose_owner(table, account, |_| false);
        let owner = owner.expect("there are members").as_str();
        owner["node-".len()..].parse().expect("is a number")
    }

    pub(crate) fn centre(&self, node: usize) -> usize {
        node % self.data_centres
    }

    fn schedule(&mut self, instant: ClockInstant, event: Event) {
        self.next_event += 1;
        self.pending.insert(self.next_event, event);
        self.events.push(Reverse((instant, self.next_event)));
    }

    fn table(&self, node: usize) -> Arc<MemberTable> {
        Arc::clone(&self.tables[&self.centre(node)])
    }

    fn sync(&mut self, index: usize) {
        let table = self.table(index);
        let caps = self.accounts.iter();
        let caps = caps.map(|account| (&account.name, account.cap));
        let node = &mut self.nodes[index];
        node.usage
            .sync(self.now, node.incarnation, self.version, &table, caps);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index, account) => self.arrive(index, account),
            Event::Tick(index) => self.tick(index),
            Event::Deliver(from, exchange) => self.deliver(from, exchange),
            Event::Reply(from, exchange, reply) => self.finish(from, &exchange, reply),
            Event::Relay(id, from, relay) => {
                let to = index_of(&relay.to);
                let served = self.serve(from, to, &relay.report);
                let is_served = served.is_some();
                let delay = self.reply_delay(relay.deadline, is_served);
                self.schedule(delay, Event::RelayReply(id, from, relay, served));
            }
            Event::RelayReply(id, from, relay, reply) => {
                let table = self.table(from);
                let usage = &mut self.nodes[from].usage;
                let reply = usage.finish_relay(self.now, &table, relay, reply);
                if let Some(relayed) = self.replies.get_mut(&id) {
                    relayed.reply.grants.extend(reply.grants);
                    relayed.open -= 1;
                    if relayed.open == 0 {
                        let relayed = self.replies.remove(&id).expect("was just found");
                        self.reply(relayed.from, relayed.exchange, relayed.reply);
                    }
                }
            }
            Event::Wake(index) => self.wake(index),
            Event::Act(act) => act(self),
        }
    }

    fn arrive(&mut self, index: usize, account: usize) {
        if !self.nodes[index].is_up {
            return;
        }
        let name = self.accounts[account].name.clone();
        let decision = self.nodes[index].usage.admit(self.now, &name);
        self.decide(
            index,
            Waiter {
                account,
                arrived_at: self.now,
                waits_until: None,
            },
            decision,
        );
        self.poll(index);
    }

    /// Carries out a decision on a request.
    fn decide(&mut self, index: usize, mut waiter: Waiter, decision: UsageDecision) {
        let now = self.now;
        let account = &mut self.accounts[waiter.account];
        let waited = waiter.arrived_at.elapsed(now);
        match decision {
            UsageDecision::Admitted | UsageDecision::Uncapped => {
                account.longest_wait = account.longest_wait.max(waited);
                account.runs.push(now);
            }
            UsageDecision::Refused(_) => account.refusals.push(now),
            UsageDecision::Ask | UsageDecision::WaitUntil(_) if waited >= MAX_WAIT => {
                account.refusals.push(now);
            }
            UsageDecision::Ask => {
                let name = account.name.clone();
                self.nodes[index].usage.add_waiting(&name, 1);
                waiter.waits_until = None;
                self.nodes[index].waiting.push(waiter);
            }
            UsageDecision::WaitUntil(instant) => {
                waiter.waits_until = Some(instant);
                self.nodes[index].waiting.push(waiter);
                self.schedule(instant, Event::Wake(index));
            }
        }
    }

    fn wake(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        for waiter in waiting {
            if waiter.waits_until.is_some_and(|until| until > self.now) {
                self.nodes[index].waiting.push(waiter);
                continue;
            }
            let name = self.accounts[waiter.account].name.clone();
            let usage = &mut self.nodes[index].usage;
            if waiter.waits_until.is_none() {
                usage.add_waiting(&name, -1);
            }
            let decision = usage.admit_again(self.now, &name);
            self.decide(index, waiter, decision);
        }
        self.poll(index);
    }

    fn poll(&mut self, index: usize) {
        let table = self.table(index);
        loop {
            let usage = &mut self.nodes[index].usage;
            let exchanges = usage.take_exchanges(self.now, &table);
            for exchange in exchanges {
                let to = index_of(&exchange.to);
                self.count(index, to, &exchange.report);
                let delay = self.now.after(self.latency(index, to));
                self.schedule(delay, Event::Deliver(index, exchange));
            }
            // Accounts of this node have been decided at once.
            let waiting = self.nodes[index].waiting.clone();
            let is_decided = waiting.iter().any(|waiter| {
                let name = &self.accounts[waiter.account].name;
                let mut usage = self.nodes[index].usage.clone();
                waiter.waits_until.is_none()
                    && usage.admit_again(self.now, name) != UsageDecision::Ask
            });
            if !is_decided {
                return;
            }
            self.wake(index);
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(self.now.after(TICK), Event::Tick(index));
        if !self.nodes[index].is_up {
            return;
        }
        self.sync(index);
        let table = self.table(index);
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        let usage = &mut self.nodes[index].usage;
        let targets = usage.take_probes(self.now, &table, |len| rng.random_range(0..len));
        let report = usage.probe_report();
        for target in targets {
            let to = index_of(&target);
            self.count(index, to, &report);
            if self.nodes[to].is_up && self.is_connected(index, to) {
                self.count(to, index, &UsageReply::default());
                let row = table.get(&target).expect("node is known");
                self.nodes[index].usage.record_contact(self.now, row);
            }
        }
        self.poll(index);
    }

    fn deliver(&mut self, from: usize, exchange: UsageExchange) {
        let to = index_of(&exchange.to);
        if !self.nodes[to].is_up || !self.is_connected(from, to) {
            let deadline = exchange.deadline;
            self.schedule(deadline, Event::Reply(from, exchange, None));
            return;
        }
        let table = self.table(to);
        let usage = &mut self.nodes[to].usage;
        let served = usage.serve(self.now, &table, &exchange.report);
        if served.relays.is_empty() {
            self.reply(from, exchange, served.reply);
            return;
        }
        self.next_event += 1;
        let id = self.next_event;
        let open = served.relays.len();
        let reply = served.reply;
        self.replies.insert(
            id,
            RelayedReply {
                from,
                exchange,
                reply,
                open,
            },
        );
        for relay in served.relays {
            let delay = self.now.after(self.latency(to, index_of(&relay.to)));
            self.count(to, index_of(&relay.to), &relay.report);
            self.schedule(delay, Event::Relay(id, to, relay));
        }
    }

    fn serve(&mut self, from: usize, to: usize, report: &UsageReport) -> Option<UsageReply> {
        let is_reached = self.nodes[to].is_up && self.is_connected(from, to);
        let table = self.table(to);
        let usage = &mut self.nodes[to].usage;
        is_reached.then(|| usage.serve(self.now, &table, report).reply)
    }

    fn reply(&mut self, from: usize, exchange: UsageExchange, reply: UsageReply) {
        let to = index_of(&exchange.to);
        self.count(to, from, &reply);
        let arrives_at = self.now.after(self.latency(to, from));
        if arrives_at > exchange.deadline {
            let deadline = exchange.deadline.max(self.now);
            self.schedule(deadline, Event::Reply(from, exchange, None));
        } else {
            self.schedule(arrives_at, Event::Reply(from, exchange, Some(reply)));
        }
    }

    fn reply_delay(&mut self, deadline: ClockInstant, is_served: bool) -> ClockInstant {
        match is_served {
            true => self.now.after(self.latency(0, 1)),
            false => deadline.max(self.now),
        }
    }

    fn finish(&mut self, from: usize, exchange: &UsageExchange, reply: Option<UsageReply>) {
        if !self.nodes[from].is_up {
            return;
        }
        let table = self.table(from);
        let usage = &mut self.nodes[from].usage;
        usage.finish(self.now, &table, exchange, reply);
        self.wake(from);
    }

    /// Half of a round trip of 0.5 ms, with some spread.
    fn latency(&mut self, _: usize, _: usize) -> TimeBudget {
        TimeBudget::from_micros(self.rng.random_range(200..800))
    }

    fn is_connected(&self, first: usize, second: usize) -> bool {
        let (first, second) = (self.centre(first), self.centre(second));
        let is_cut = |cut: &(usize, usize)| *cut == (first, second) || *cut == (second, first);
        !self.cuts.iter().any(is_cut)
    }

    fn count(&mut self, from: usize, to: usize, message: &impl serde::Serialize) {
        let encoded = postcard::to_allocvec(message).expect("messages can be encoded");
        self.messages += 1;
        self.bytes += (encoded.len() + MESSAGE_OVERHEAD) as u64;
        self.nodes[from].messages += 1;
        self.nodes[to].messages += 1;
    }
}

impl SimAccount {
    /// Returns the most requests that ran in any window.
    pub(crate) fn peak(&self) -> usize {
        peak(&self.runs, ClockInstant::default())
    }

    /// Returns the most requests that ran in any window that began at `since` or later.
    pub(crate) fn peak_since(&self, since: ClockInstant) -> usize {
        peak(&self.runs, since)
    }

    pub(crate) fn bound(&self) -> usize {
        let cap = self.cap.rate.per_second() * WINDOW.as_secs_f64() + self.cap.burst as f64;
        (cap * 1.1 + 20.0) as usize
    }

    /// Returns the requests that the cap entitles the account to, by one exact token bucket.
    pub(crate) fn owed(&self) -> usize {
        let mut arrivals: Vec<_> = self.arrivals.iter().map(|(at, _)| *at).collect();
        arrivals.sort_unstable();
        admit_by_bucket(&self.cap, 1.0, &arrivals).len()
    }

    /// Returns what an equal share of the cap for each of `nodes` nodes would admit.
    pub(crate) fn admitted_by_equal_shares(&self, nodes: usize) -> usize {
        let mut by_node: BTreeMap<usize, Vec<ClockInstant>> = BTreeMap::new();
        for (at, node) in &self.arrivals {
            by_node.entry(*node).or_default().push(*at);
        }
        let shares = by_node.into_values().map(|mut arrivals| {
            arrivals.sort_unstable();
            admit_by_bucket(&self.cap, 1.0 / nodes as f64, &arrivals).len()
        });
        shares.sum()
    }
}

fn admit_by_bucket(cap: &UsageCap, share: f64, arrivals: &[ClockInstant]) -> Vec<ClockInstant> {
    let capacity = (cap.burst as f64 * share).max(1.0);
    let (mut level, mut filled_at) = (capacity, START);
    let mut admitted = Vec::new();
    for at in arrivals {
        level += filled_at.elapsed(*at).as_secs_f64() * cap.rate.per_second() * share;
        (level, filled_at) = (level.min(capacity), *at);
        if level >= 1.0 {
            level -= 1.0;
            admitted.push(*at);
        }
    }
    admitted
}

fn peak(runs: &[ClockInstant], since: ClockInstant) -> usize {
    let mut runs: Vec<_> = runs.iter().filter(|at| **at >= since).collect();
    runs.sort_unstable();
    let ends = runs.iter().enumerate();
    ends.map(|(first, at)| {
        let end = at.after(WINDOW);
        runs[first..].partition_point(|at| **at < end)
    })
    .max()
    .unwrap_or(0)
}

pub(crate) fn cap(rate: f64, burst: u64) -> UsageCap {
    UsageCap {
        rate: RequestRate::from_millis((rate * 1e3) as u64),
        burst,
    }
}

fn index_of(node: &NodeName) -> usize {
    let number = &node.as_str()["node-".len()..];
    number.parse().expect("is a number")
}
