//! Deterministic simulation of a few gossip nodes with a lossy network and a platform, driven by
//! one seed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigSnapshot, check_snapshot},
    error::{ErrorKind, MeshError},
    ids::{AttemptToken, ContentHash, DataCentre, IncarnationNumber, NodeName, VersionNumber},
    member::{LeaseRow, MemberRow, MemberState},
    spread::{
        CompressedBytes, CurrentRow, FetchSource, GossipAction, GossipEvent, GossipNode,
        GossipOptions, ProbeReply, PublishAttempt, PublishPlan, SnapshotReply, SnapshotRequest,
        VersionFetch, VersionRow,
    },
};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

/// Bounds of the time between two ticks; a paused node has work due all the time.
const MIN_TICK: TimeBudget = TimeBudget::from_millis(10);
/// Shortest time until a node acts on a message.
const MIN_WAKE: TimeBudget = TimeBudget::from_millis(1);
const MAX_TICK: TimeBudget = TimeBudget::from_millis(500);
const START: ClockInstant = ClockInstant::from_millis(1_000_000);

type ScheduledTask = Box<dyn FnOnce(&mut MeshFixture)>;

/// Fake platform with one version row, objects, lease rows and injected faults.
#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) current: Option<CurrentRow>,
    pub(crate) objects: BTreeMap<String, Bytes>,
    pub(crate) is_unreachable: bool,
    pub(crate) response_ms: u64,
    pub(crate) lease_rows: BTreeMap<NodeName, LeaseRow>,
    pub(crate) lease_row_writes: u64,
    pub(crate) version_row_reads: u64,
    pub(crate) object_reads: u64,
}

/// Messages between nodes and their encoded bytes, without transport and framing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GossipTraffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl GossipTraffic {
    fn count(&mut self, message: &impl Serialize) {
        let encoded = postcard::to_stdvec(message).expect("messages are serializable");
        self.messages += 1;
        self.bytes += encoded.len() as u64;
    }
}

pub(crate) struct MeshFixture {
    pub(crate) now: ClockInstant,
    pub(crate) rng: StdRng,
    pub(crate) options: GossipOptions,
    pub(crate) nodes: BTreeMap<NodeName, GossipNode>,
    pub(crate) platform: FakePlatform,
    /// Data centres that are partitioned from the others and from the platform.
    pub(crate) partitioned: BTreeSet<DataCentre>,
    pub(crate) paused: BTreeSet<NodeName>,
    /// Whether nodes start with the addresses of seed peers.
    pub(crate) has_seeds: bool,
    /// Maximum number of seed peers.
    max_seeds: usize,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) alter_percent: u32,
    /// Replies with content that the fixture has altered.
    pub(crate) altered_replies: u64,
    /// Messages between nodes, and replies to them, that were sent.
    pub(crate) traffic: GossipTraffic,
    /// Hash of every accepted version that passes its checks.
    pub(crate) accepted: BTreeMap<VersionNumber, ContentHash>,
    pub(crate) events: Vec<(NodeName, GossipEvent)>,
    rows: BTreeMap<NodeName, MemberRow>,
    /// Number of starts of each node; tasks scheduled before the latest are dropped.
    runs: BTreeMap<NodeName, u64>,
    active_version: BTreeMap<NodeName, VersionNumber>,
    /// When each node that a step has woken ticks.
    wakes: BTreeMap<NodeName, ClockInstant>,
    queue: BTreeMap<(ClockInstant, u64), ScheduledTask>,
    task_count: u64,
    attempts: u128,
}

impl MeshFixture {
    /// Creates `per_centre` nodes in each of `centres` data centres.
    pub(crate) fn new(seed: u64, centres: u8, per_centre: u8) -> Self {
        let options = GossipOptions::default();
        Self::build(seed, centres, per_centre, usize::MAX, options)
    }

    /// Creates a mesh that starts for the first time, with at most `max_seeds` seed peers.
    pub(crate) fn first_start(seed: u64, centres: u8, per_centre: u8, max_seeds: usize) -> Self {
        let options = GossipOptions {
            is_first_start: true,
            ..GossipOptions::default()
        };
        let mut mesh = Self::build(seed, centres, per_centre, max_seeds, options);
        mesh.options.is_first_start = false;
        mesh
    }

    fn build(
        seed: u64,
        centres: u8,
        per_centre: u8,
        max_seeds: usize,
        options: GossipOptions,
    ) -> Self {
        let mut mesh = Self {
            now: START,
            rng: StdRng::seed_from_u64(seed),
            options,
            nodes: BTreeMap::new(),
            platform: FakePlatform::default(),
            partitioned: BTreeSet::new(),
            paused: BTreeSet::new(),
            has_seeds: true,
            max_seeds,
            loss_percent: 0,
            duplicate_percent: 0,
            alter_percent: 0,
            altered_replies: 0,
            traffic: GossipTraffic::default(),
            accepted: BTreeMap::new(),
            events: Vec::new(),
            rows: BTreeMap::new(),
            runs: BTreeMap::new(),
            active_version: BTreeMap::new(),
            wakes: BTreeMap::new(),
            queue: BTreeMap::new(),
            task_count: 0,
            attempts: 0,
        };
        for centre in 1..=centres {
            for number in 1..=per_centre {
                mesh.add_row(centre, number);
            }
        }
        for node in mesh.names() {
            mesh.start(&node);
        }
        mesh
    }

    fn add_row(&mut self, centre: u8, number: u8) {
        let node: NodeName = format!("n{centre}-{number:02}").parse().unwrap();
        let row = MemberRow {
            node: node.clone(),
            incarnation: IncarnationNumber::new(0),
            revision: 0,
            state: MemberState::Starting,
            data_centre: format!("dc{centre}").parse().unwrap(),
            peer_address: SocketAddr::from(([127, 0, centre, number], 1)),
            backends: Vec::new(),
        };
        self.rows.insert(node, row);
    }

    pub(crate) fn names(&self) -> Vec<NodeName> {
        self.rows.keys().cloned().collect()
    }

    pub(crate) fn centre_of(&self, node: &NodeName) -> DataCentre {
        self.rows[node].data_centre.clone()
    }

    /// Starts a node, or restarts it with empty state.
    pub(crate) fn start(&mut self, node: &NodeName) {
        let mut row = self.rows[node].clone();
        row.incarnation = IncarnationNumber::new(self.now.as_micros());
        let seeds = self.rows.values().step_by(3).map(|row| row.peer_address);
        let seeds = seeds.take(self.max_seeds);
        let seeds = if self.has_seeds {
            seeds.collect()
        } else {
            Vec::new()
        };
        let mesh = "m".parse().unwrap();
        let options = self.options.clone();
        let started = GossipNode::new(mesh, row, seeds, options, self.now, &mut self.rng);
        self.active_version.remove(node);
        self.wakes.remove(node);
        *self.runs.entry(node.clone()).or_default() += 1;
        self.nodes.insert(node.clone(), started);
        self.schedule_tick(node.clone(), self.now);
    }

    /// Stops a node without a leave message.
    pub(crate) fn kill(&mut self, node: &NodeName) {
        self.nodes.remove(node);
        self.paused.remove(node);
    }

    /// Makes a node tell the others that it leaves.
    pub(crate) fn leave(&mut self, node: &NodeName) {
        let run = self.runs[node];
        self.step(node, run, |node, now, rng| {
            node.leave();
            node.tick(now, rng);
        });
    }

    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.now.after(TimeBudget::from_millis(millis));
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let task = entry.remove();
            self.now = at;
            task(self);
        }
        self.now = end;
    }

    /// Runs until `check` holds and returns the elapsed milliseconds; panics after `limit`.
    pub(crate) fn run_until(&mut self, limit: u64, check: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !check(self) {
            let millis = start.elapsed(self.now).as_millis();
            assert!(
                millis < limit,
                "the condition did not hold within {limit} ms"
            );
            self.run_for(50);
        }
        start.elapsed(self.now).as_millis()
    }

    /// Publishes a version; `text` becomes a route's path, which makes versions differ.
    pub(crate) fn publish(&mut self, text: &str) -> VersionNumber {
        let current = self.platform.current.clone();
        self.attempts += 1;
        let attempt = PublishAttempt {
            token: AttemptToken::new(self.attempts),
            publisher: "operator".into(),
            started_at: self.now,
        };
        let plan = PublishPlan::new(current.as_ref(), snapshot(text), attempt).unwrap();
        let stamp = plan.version().stamp();
        let body = plan.version().body().clone();
        self.platform
            .objects
            .insert(plan.row().object.to_string(), body);
        let revision = plan.expected_revision().unwrap_or_default().next();
        let row = plan.row().clone();
        self.platform.current = Some(CurrentRow { row, revision });
        self.accepted.insert(stamp.number, stamp.hash);
        stamp.number
    }

    /// Writes a version to the platform that fails its checks or is not a configuration at all.
    pub(crate) fn publish_unchecked(&mut self, body: Bytes) -> VersionNumber {
        let current = self
            .platform
            .current
            .clone()
            .expect("a version was published");
        let row = VersionRow {
            number: current.row.number.next(),
            hash: ContentHash::of(&body),
            object: "bad".into(),
            ..current.row
        };
        let number = row.number;
        self.platform.objects.insert("bad".to_owned(), body);
        let revision = current.revision.next();
        self.platform.current = Some(CurrentRow { row, revision });
        number
    }

    pub(crate) fn number_of(&self, node: &NodeName) -> Option<VersionNumber> {
        let version = self.nodes.get(node)?.active_version()?;
        Some(version.stamp().number)
    }

    pub(crate) fn all_have(&self, number: VersionNumber) -> bool {
        self.nodes
            .keys()
            .all(|node| self.number_of(node) == Some(number))
    }

    fn schedule(&mut self, at: ClockInstant, task: impl FnOnce(&mut Self) + 'static) {
        self.task_count += 1;
        self.queue.insert((at, self.task_count), Box::new(task));
    }

    fn schedule_tick(&mut self, node: NodeName, at: ClockInstant) {
        let run = self.runs[&node];
        self.schedule(at, move |mesh| {
            if mesh.runs[&node] != run || !mesh.nodes.contains_key(&node) {
                return;
            }
            if !mesh.paused.contains(&node) {
                mesh.step(&node, run, GossipNode::tick);
            }
            let now = mesh.now;
            let next = mesh.nodes[&node].next_tick(now);
            let next = next.clamp(now.after(MIN_TICK), now.after(MAX_TICK));
            mesh.schedule_tick(node, next);
        });
    }

    /// Ticks a node as soon as work is due that a step has left, as the daemon does.
    fn schedule_wake(&mut self, name: &NodeName, run: u64) {
        let Some(node) = self.nodes.get(name).filter(|node| node.needs_tick()) else {
            return;
        };
        let at = node.next_tick(self.now).max(self.now.after(MIN_WAKE));
        if self.wakes.get(name).is_some_and(|pending| *pending <= at) {
            return;
        }
        self.wakes.insert(name.clone(), at);
        let name = name.clone();
        self.schedule(at, move |mesh| {
            mesh.wakes.remove(&name);
            mesh.step(&name, run, GossipNode::tick);
        });
    }

    /// Runs a step of a node and the resulting actions, unless it is paused, stopped or restarted.
    fn step<T>(
        &mut self,
        name: &NodeName,
        run: u64,
        step: impl FnOnce(&mut GossipNode, ClockInstant, &mut StdRng) -> T,
    ) -> Option<T> {
        if self.runs[name] != run || self.paused.contains(name) {
            return None;
        }
        let mut node = self.nodes.remove(name)?;
        let result = step(&mut node, self.now, &mut self.rng);
        let actions = node.take_actions();
        self.check(name, &node);
        self.nodes.insert(name.clone(), node);
        for action in actions {
            self.perform(name, run, action);
        }
        self.schedule_wake(name, run);
        Some(result)
    }

    /// Runs a step on behalf of the test, such as an announcement.
    pub(crate) fn apply(&mut self, name: &NodeName, step: impl FnOnce(&mut GossipNode)) {
        let run = self.runs[name];
        self.step(name, run, |node, _, _| step(node));
    }

    /// Checks the invariants of a node after every step.
    fn check(&mut self, name: &NodeName, node: &GossipNode) {
        let Some(version) = node.active_version() else {
            return;
        };
        let stamp = version.stamp();
        let before = self.active_version.insert(name.clone(), stamp.number);
        assert!(
            before <= Some(stamp.number),
            "{name} rolled back to {stamp}"
        );
        if before == Some(stamp.number) {
            return;
        }
        let accepted = self.accepted.get(&stamp.number);
        assert_eq!(
            accepted,
            Some(&stamp.hash),
            "{name} activated a version that was not accepted"
        );
        assert!(check_snapshot(version.snapshot()).is_empty());
        assert_eq!(ContentHash::of(&version.snapshot().to_bytes()), stamp.hash);
    }

    fn perform(&mut self, from: &NodeName, run: u64, action: GossipAction) {
        let sender = (from.clone(), run);
        match action {
            GossipAction::Gossip {
                to,
                request,
                deadline,
            } => {
                let address = to.address;
                self.traffic.count(&request);
                let handle = move |node: &mut GossipNode, now, _: &mut StdRng| {
                    node.handle_gossip(request.clone(), now)
                };
                let on_reply = move |node: &mut GossipNode, result, now, rng: &mut StdRng| {
                    node.handle_gossip_reply(&to, result, now, rng);
                };
                self.call(sender, address, deadline, handle, on_reply);
            }
            GossipAction::Reconcile {
                to,
                request,
                deadline,
            } => {
                let address = to.address;
                self.traffic.count(&request);
                let handle = move |node: &mut GossipNode, now, rng: &mut StdRng| {
                    node.handle_reconcile(&request, now, rng)
                };
                let on_reply = move |node: &mut GossipNode, result, now, rng: &mut StdRng| {
                    node.handle_reconcile_reply(&to, result, now, rng);
                };
                self.call(sender, address, deadline, handle, on_reply);
            }
            GossipAction::IndirectProbe {
                to,
                request,
                deadline,
            } => {
                let is_alive = self.reaches(to.address, request.address);
                let target = request.target;
                let header = request.from;
                let handle = move |node: &mut GossipNode, now, _: &mut StdRng| ProbeReply {
                    from: node.handle_contact(&header, now),
                    is_alive,
                };
                let on_reply = move |node: &mut GossipNode, result, now, _: &mut StdRng| {
                    node.handle_probe_reply(&target, result, now);
                };
                self.call(sender, to.address, deadline, handle, on_reply);
            }
            GossipAction::Fetch(fetch) => self.fetch(sender, fetch),
            GossipAction::ReadVersionRow => self.read_version_row(sender),
            GossipAction::WriteLeaseRow(row) => {
                self.platform.lease_rows.insert(from.clone(), row);
                self.platform.lease_row_writes += 1;
            }
            GossipAction::FindSeeds => {
                let rows = self.platform.lease_rows.values();
                let found: Vec<_> = rows.map(|row| row.peer_address).collect();
                self.reply_later(sender, move |node, _, _| node.add_seeds(found));
            }
            GossipAction::Notify(event) => self.events.push((from.clone(), event)),
        }
    }

    fn fetch(&mut self, sender: (NodeName, u64), fetch: VersionFetch) {
        let is_altered = self.rng.random_range(0..100) < self.alter_percent;
        self.altered_replies += u64::from(is_altered);
        match fetch.source.clone() {
            FetchSource::Peer(peer) => {
                let request = SnapshotRequest {
                    from: self.nodes[&sender.0].header(),
                    stamp: fetch.stamp,
                    base: fetch.base,
                };
                let address = self.rows[&peer].peer_address;
                let deadline = self.now.after(TimeBudget::from_secs(2));
                let handle = move |node: &mut GossipNode, now, rng: &mut StdRng| {
                    altered(node.handle_snapshot_request(&request, now, rng), is_altered)
                };
                let on_reply = move |node: &mut GossipNode, result, now, rng: &mut StdRng| {
                    node.handle_fetch_reply(&fetch, result, now, rng);
                };
                self.call(sender, address, deadline, handle, on_reply);
            }
            FetchSource::Store(object) => {
                self.platform.object_reads += 1;
                let body = self.platform.objects.get(object.as_str()).cloned();
                let reply = body.map_or(SnapshotReply::Missing, SnapshotReply::Whole);
                let result = self.platform_reply(&sender.0, altered(reply, is_altered));
                self.reply_later(sender, move |node, now, rng| {
                    node.handle_fetch_reply(&fetch, result, now, rng);
                });
            }
        }
    }

    fn read_version_row(&mut self, sender: (NodeName, u64)) {
        self.platform.version_row_reads += 1;
        let row = self.platform.current.as_ref().map(|held| held.row.clone());
        let result = self.platform_reply(&sender.0, row);
        self.reply_later(sender, move |node, now, rng| {
            node.handle_version_row(result, now, rng);
        });
    }

    fn platform_reply<T>(&self, from: &NodeName, reply: T) -> Result<T, MeshError> {
        let is_partitioned = self.partitioned.contains(&self.centre_of(from));
        if self.platform.is_unreachable || is_partitioned {
            return Err(MeshError::new(
                ErrorKind::PlatformAway,
                "the platform is unreachable",
            ));
        }
        Ok(reply)
    }

    fn reply_later(
        &mut self,
        (name, run): (NodeName, u64),
        on_reply: impl FnOnce(&mut GossipNode, ClockInstant, &mut StdRng) + 'static,
    ) {
        let at = self
            .now
            .after(TimeBudget::from_millis(self.platform.response_ms));
        self.schedule(at, move |mesh| {
            mesh.step(&name, run, on_reply);
        });
    }

    /// Delivers a call to a node and its reply, with injected network faults.
    fn call<T: Serialize + 'static>(
        &mut self,
        (from, run): (NodeName, u64),
        address: SocketAddr,
        deadline: ClockInstant,
        handle: impl Fn(&mut GossipNode, ClockInstant, &mut StdRng) -> T + Clone + 'static,
        on_reply: impl FnOnce(&mut GossipNode, Result<T, MeshError>, ClockInstant, &mut StdRng)
        + 'static,
    ) {
        let own = self.rows[&from].peer_address;
        let is_lost = self.rng.random_range(0..100) < self.loss_percent;
        let no_reply = MeshError::new(ErrorKind::NoBackend, "the call was lost");
        if is_lost || !self.reaches(own, address) {
            self.schedule(deadline, move |mesh| {
                mesh.step(&from, run, |node, now, rng| {
                    on_reply(node, Err(no_reply), now, rng);
                });
            });
            return;
        }
        let target = self
            .find(address)
            .expect("a reachable address belongs to a node");
        let target_run = self.runs[&target];
        if self.rng.random_range(0..100) < self.duplicate_percent {
            let (target, handle) = (target.clone(), handle.clone());
            let at = self.random_instant(3_000);
            self.schedule(at, move |mesh| {
                mesh.step(&target, target_run, handle);
            });
        }
        let (arrival, wait) = (self.random_instant(30), self.rng.random_range(1..30));
        self.schedule(arrival, move |mesh| {
            let reply = mesh.step(&target, target_run, handle);
            let (at, result) = match reply {
                Some(reply) => {
                    mesh.traffic.count(&reply);
                    (mesh.now.after(TimeBudget::from_millis(wait)), Ok(reply))
                }
                None => (deadline, Err(no_reply)),
            };
            mesh.schedule(at, move |mesh| {
                mesh.step(&from, run, |node, now, rng| {
                    on_reply(node, result, now, rng);
                });
            });
        });
    }

    fn random_instant(&mut self, max_millis: u64) -> ClockInstant {
        let wait = self.rng.random_range(1..=max_millis);
        self.now.after(TimeBudget::from_millis(wait))
    }

    fn find(&self, address: SocketAddr) -> Option<NodeName> {
        let mut rows = self.rows.values();
        let row = rows.find(|row| row.peer_address == address)?;
        Some(row.node.clone())
    }

    /// Returns whether the network connects two addresses and a running node listens at the second.
    fn reaches(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let (Some(from), Some(to)) = (self.find(from), self.find(to)) else {
            return false;
        };
        let (near, far) = (self.centre_of(&from), self.centre_of(&to));
        let is_partitioned =
            near != far && (self.partitioned.contains(&near) || self.partitioned.contains(&far));
        self.nodes.contains_key(&to) && !self.paused.contains(&to) && !is_partitioned
    }
}

fn altered(reply: SnapshotReply, is_altered: bool) -> SnapshotReply {
    match reply {
        SnapshotReply::Whole(body) if is_altered => {
            SnapshotReply::Whole(body.slice(..body.len() - 1))
        }
        SnapshotReply::Compressed(compressed) if is_altered => {
            let body = compressed
                .decompress()
                .expect("the compressed content is well-formed");
            SnapshotReply::Compressed(CompressedBytes::compress(&body[..body.len() - 1]))
        }
        SnapshotReply::Delta(compressed) if is_altered => {
            let bytes = compressed
                .decompress()
                .expect("the compressed content is well-formed");
            SnapshotReply::Delta(CompressedBytes::compress(&raise_timeout(&bytes)))
        }
        reply => reply,
    }
}

/// Changes a timeout in a delta, which leaves it well-formed and valid.
fn raise_timeout(bytes: &Bytes) -> Bytes {
    let text = String::from_utf8(bytes.to_vec()).expect("a delta is JSON");
    Bytes::from(text.replace("\"timeout\":\"1s\"", "\"timeout\":\"2s\""))
}

/// Returns a small configuration in which one route's path is `/text`.
pub(crate) fn snapshot(text: &str) -> ConfigSnapshot {
    let json = serde_json::json!({
        "mesh": "m",
        "proxies": {"dc1": {"spill_order": []}},
        "services": {"tracker": {
            "crew": null, "slots": 12, "connections": 110, "report_format": "plain",
            "slow_start": "5s", "drain": "10s",
            "rollout": {"first_share": "5%", "min_requests": 50, "hold": "30s"}
        }},
        "routes": {"landing": {
            "path": format!("/{text}"), "methods": [], "service": "tracker",
            "priority": "urgent", "idempotent": true, "timeout": "1s", "max_body": 1024,
            "objective": {"success": "99%", "latency": "100ms"}
        }}
    });
    serde_json::from_value(json).expect("the snapshot is well-formed")
}
