use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ConfigVersion,
    error::{ErrorKind, MeshError},
    ids::{IncarnationNumber, NodeName},
    member::{MemberRow, MemberState, MemberTable},
    request::TimePublisher,
    rollout::EvidenceSource,
    spread::{
        GossipNode, GossipOptions, PlatformState, RecordEntry, RecordKey, RecordTable, RecordValue,
    },
};
use cadence::{CountedExt, Timed};
use compact_str::{CompactString, format_compact};
use rand::{SeedableRng, rngs::StdRng};
use slog::{Logger, info, warn};
use tokio::sync::broadcast;

use crate::{
    backends::{BackendTable, LEASE_BUDGET},
    forward::RequestState,
    gossip::GossipState,
    log::{EventName, LogLimiter},
    metrics::{MetricClient, MetricSink},
    node::SystemClock,
    peers::PeerTraffic,
    rollout::RolloutState,
    settings::NodeSettings,
};

const RETRY_PAUSE: TimeBudget = TimeBudget::from_secs(1);

/// Addresses of a node's listeners, as opened.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// Whether the platform answered at the latest attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformHealth {
    /// It answered, or was not asked yet.
    Present,
    /// It did not answer.
    Away,
}

/// State that the listeners and tasks of one node share.
///
/// The configuration is one pointer to an immutable version, swapped as a whole.
#[derive(Debug)]
pub struct NodeState {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Addresses of the node's listeners.
    pub addresses: NodeAddresses,
    /// Clock of the node.
    pub clock: SystemClock,
    /// Logger of the node.
    pub logger: Logger,
    /// Client by which the node counts.
    pub metrics: MetricClient,
    /// Metrics that were counted.
    pub metric_sink: MetricSink,
    /// Bytes exchanged with other nodes.
    pub peer_traffic: PeerTraffic,
    /// Members, versions and records, as they spread between the nodes.
    pub spread: GossipState,
    config: ArcSwapOption<ConfigVersion>,
    applied_at: AtomicU64,
    backends: Mutex<BackendTable>,
    /// Version moves, as this node knows and judges them.
    pub rollout: RolloutState,
    /// Requests that the node admits and runs.
    pub requests: Arc<RequestState>,
    lines: Mutex<LogLimiter>,
    is_draining: AtomicBool,
    is_platform_away: AtomicBool,
    request_count: AtomicU64,
}

impl NodeState {
    /// Builds the state of a node that holds no configuration yet.
    #[must_use]
    pub fn new(settings: NodeSettings, addresses: NodeAddresses, logger: Logger) -> Arc<Self> {
        let clock = SystemClock::start();
        let budget_rule = settings.retries;
        let lease = settings
            .local
            .as_ref()
            .map_or(LEASE_BUDGET, |local| local.lease);
        let metric_sink = MetricSink::default();
        let spread = start_spread(&settings, addresses, clock.now());
        let slot = EvidenceSource {
            node: settings.node.clone(),
            incarnation: spread.read(|node| node.own().incarnation),
        };
        let rollout = RolloutState::new(slot, settings.data_centre.clone());
        Arc::new(Self {
            settings,
            addresses,
            spread,
            rollout,
            peer_traffic: PeerTraffic::default(),
            clock,
            logger,
            metrics: metric_sink.client(),
            metric_sink,
            config: ArcSwapOption::empty(),
            applied_at: AtomicU64::new(0),
            backends: Mutex::new(BackendTable::new(lease)),
            requests: Arc::new(RequestState::new(clock, budget_rule)),
            lines: Mutex::default(),
            is_draining: AtomicBool::new(false),
            is_platform_away: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
        })
    }

    /// Returns the current instant of the node's clock.
    #[must_use]
    pub fn now(&self) -> ClockInstant {
        self.clock.now()
    }

    /// Returns the configuration version in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<ConfigVersion>> {
        self.config.load_full()
    }

    /// Returns the instant at which the version in force was applied.
    #[must_use]
    pub fn applied_at(&self) -> ClockInstant {
        ClockInstant::from_micros(self.applied_at.load(Ordering::Relaxed))
    }

    /// Puts a version in force, which the kernel has found newer than the one before.
    pub fn apply_config(&self, version: Arc<ConfigVersion>) {
        let stamp = version.stamp();
        self.applied_at
            .store(self.now().as_micros(), Ordering::Relaxed);
        self.config.store(Some(version));
        self.count("config_applied");
        info!(self.logger, "{}", EventName::ConfigApplied;
            "version" => stamp.number.get(), "hash" => stamp.hash.to_string());
    }

    /// Returns the run of the node; a new one begins when it rejoins after a pause.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationNumber {
        self.spread.read(|node| node.own().incarnation)
    }

    /// Returns the members as they are now.
    #[must_use]
    pub fn members(&self) -> Arc<MemberTable> {
        self.spread.members()
    }

    /// Returns the address at which the peer `node` listens for other nodes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the node is not known.
    pub fn peer_address_of(&self, node: &NodeName) -> Result<SocketAddr, MeshError> {
        let address = self
            .spread
            .read(|spread| spread.members().get(node).map(|row| row.peer_address));
        address.ok_or_else(|| {
            MeshError::new(ErrorKind::NoBackend, format!("node {node} is not known"))
        })
    }

    /// Returns the backend servers beside this node, locked.
    pub fn backends(&self) -> MutexGuard<'_, BackendTable> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges a record, and spreads it to every node when that changed it; returns whether it did.
    ///
    /// # Errors
    ///
    /// Those of [`RecordTable::merge`](bronzelb_kernel::spread::RecordTable::merge).
    pub fn put_record(
        &self,
        key: RecordKey,
        value: impl Into<RecordValue>,
    ) -> Result<bool, MeshError> {
        let (now, value) = (self.now(), value.into());
        self.spread.step(|node, _| node.put_record(key, value, now))
    }

    /// Returns the record under `key`.
    #[must_use]
    pub fn record(&self, key: &RecordKey) -> Option<RecordValue> {
        self.spread.read(|node| node.records().get(key).cloned())
    }

    /// Returns every record.
    #[must_use]
    pub fn records(&self) -> RecordTable {
        self.spread.read(|node| node.records().clone())
    }

    /// Returns a receiver of every record that changes from now on, by this node or another.
    ///
    /// A receiver that falls behind by many changes gets an error and reads
    /// [`NodeState::records`] anew.
    #[must_use]
    pub fn record_changes(&self) -> broadcast::Receiver<RecordEntry> {
        self.spread.record_changes()
    }

    /// Checks that the node may act on what it knows: it was not paused for longer than its lease,
    /// or has asked the platform or its peers anew since.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] otherwise, with a time to come back.
    pub fn check_lease(&self) -> Result<(), MeshError> {
        let now = self.now();
        if self.spread.read(|node| node.may_act(now)) {
            return Ok(());
        }
        let message = "the node starts, or was paused and has not rejoined yet";
        let error = MeshError::new(ErrorKind::NotReady, message);
        Err(error.with_retry_at(now.after(RETRY_PAUSE)))
    }

    /// Drops the backend servers whose lease has lapsed.
    pub(crate) fn expire_backends(&self) {
        let lapsed = self.backends().expire(self.now());
        for name in &lapsed {
            info!(self.logger, "{}", EventName::BackendLeft; "backend" => name.to_string());
        }
        if !lapsed.is_empty() {
            self.refresh_own_row();
        }
    }

    /// Tells the mesh how long the requests of the servers beside this node take, where that has
    /// changed.
    pub(crate) fn publish_times(&self) {
        let now = self.now();
        let mut is_changed = false;
        for (name, gate) in self.requests.host_gates() {
            let update = |times: &mut TimePublisher| gate.slots.publish_times(now, times);
            is_changed |= self.backends().update_times(&name, update);
        }
        if is_changed {
            self.refresh_own_row();
        }
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown: the node is no longer ready, and callers are told to reconnect
    /// elsewhere.
    pub fn refuse_readiness(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        info!(self.logger, "{}", EventName::Draining);
    }

    /// Tells the mesh that this node and the backend servers beside it take no new work.
    pub fn announce_drain(&self) {
        let now = self.now();
        self.spread.step(|node, _| node.drain(now));
    }

    /// Returns whether the platform answered lately, this node or another that told it.
    #[must_use]
    pub fn platform_health(&self) -> PlatformHealth {
        let now = self.now();
        match self.spread.read(|node| node.platform_state(now)) {
            PlatformState::Away(_) => PlatformHealth::Away,
            PlatformState::Unknown | PlatformState::Reachable(_) => PlatformHealth::Present,
        }
    }

    /// Returns whether the node takes requests: a version is in force and it neither starts, is
    /// cut off from its own clock, nor drains.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        !self.is_draining()
            && self.config().is_some()
            && self.spread.read(|node| node.is_ready(now))
    }

    /// Takes in whether a call to the platform was answered, and logs when that changes.
    pub fn note_platform(&self, failure: Option<&MeshError>) {
        let is_away = failure.is_some();
        if self.is_platform_away.swap(is_away, Ordering::Relaxed) == is_away {
            return;
        }
        match failure {
            Some(error) => warn!(self.logger, "{}", EventName::PlatformState;
                "state" => "lost", "message" => error.to_string()),
            None => info!(self.logger, "{}", EventName::PlatformState; "state" => "regained"),
        }
    }

    /// Returns the lifecycle state of this node.
    #[must_use]
    pub fn member_state(&self) -> MemberState {
        if self.is_draining() {
            return MemberState::Draining;
        }
        self.spread.read(|node| node.own().state)
    }

    /// Tells the mesh which backend servers are beside this node.
    pub fn refresh_own_row(&self) {
        let now = self.now();
        let rows = self.backends().rows();
        self.spread.step(|node, _| node.set_backends(rows, now));
    }

    /// Returns the address that other nodes connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        advertised(&self.settings, self.addresses)
    }

    /// Draws an identifier for a request that enters at this node.
    pub fn next_request_id(&self) -> CompactString {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}-{}-{number}", self.settings.node, self.incarnation())
    }

    /// Returns whether a line of `event` is to be written now; otherwise it is counted.
    pub(crate) fn takes_line(&self, event: EventName) -> bool {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.try_acquire(self.now(), event)
    }

    /// Tells how many lines were not written since the last call.
    pub(crate) fn tell_suppressed(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        for (event, count) in lines.take_suppressed() {
            info!(self.logger, "{}", EventName::LinesSuppressed;
                "suppressed" => event.name(), "lines" => count);
        }
    }

    /// Adds one to the counter `name` for `label` = `value`.
    pub fn count_by(&self, name: &str, label: &str, value: &str) {
        // The sink is memory and does not fail.
        let _ = self
            .metrics
            .incr_with_tags(name)
            .with_tag(label, value)
            .try_send();
    }

    /// Adds a time to the histogram `name` for `label` = `value`.
    pub fn observe(&self, name: &str, label: &str, value: &str, took: TimeBudget) {
        let timer = self.metrics.time_with_tags(name, took.as_millis());
        // The sink is memory and does not fail.
        let _ = timer.with_tag(label, value).try_send();
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        // The sink is memory and does not fail.
        let _ = self.metrics.incr(name);
    }
}

fn advertised(settings: &NodeSettings, addresses: NodeAddresses) -> SocketAddr {
    settings.peers.advertise.unwrap_or(addresses.peers)
}

fn start_spread(
    settings: &NodeSettings,
    addresses: NodeAddresses,
    now: ClockInstant,
) -> GossipState {
    let own = MemberRow {
        node: settings.node.clone(),
        incarnation: IncarnationNumber::new(now.as_micros()),
        revision: 0,
        state: MemberState::Starting,
        data_centre: settings.data_centre.clone(),
        peer_address: advertised(settings, addresses),
        backends: Vec::new(),
    };
    let rule = GossipOptions {
        mode: settings.spread.mode,
        ..GossipOptions::default()
    };
    let seeds = settings.peers.first.clone();
    let mut rng = StdRng::from_os_rng();
    let node = GossipNode::new(settings.mesh.clone(), own, seeds, rule, now, &mut rng);
    GossipState::new(node, rng)
}
