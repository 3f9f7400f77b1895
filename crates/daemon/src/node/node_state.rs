use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{CallerLimits, ConfigVersion},
    error::{ErrorKind, MeshError},
    ids::{IncarnationNumber, NodeName},
    member::{MemberRow, MemberState, MemberTable},
    request::TimePublisher,
    rollout::EvidenceSource,
    spread::{
        GossipNode, GossipOptions, PlatformState, RecordEntry, RecordKey, RecordTable, RecordValue,
    },
};
use bronzelb_store::client::EraTracker;
use cadence::{CountedExt, Timed};
use compact_str::{CompactString, format_compact};
use rand::{SeedableRng, rngs::StdRng};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, broadcast};

use crate::{
    accounts::UsageState,
    backends::{BackendTable, ContactMonitor, DepartureCopies, LEASE_DURATION},
    forward::RequestState,
    gossip::GossipState,
    holding::HoldingState,
    log::{EventName, LogLimiter},
    metrics::{MetricClient, MetricSink},
    node::SystemClock,
    peers::PeerTraffic,
    placement::PlacementState,
    rollout::RolloutState,
    settings::NodeSettings,
};

/// Delay after which a caller may retry at a node that holds no valid lease.
const LEASE_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(1);

/// Local addresses that a node's listeners are bound to.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// Whether the platform is reachable, as seen by this node or reported by its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformHealth {
    /// A recent call was answered, or none has been made yet.
    Reachable,
    /// No recent call was answered.
    Unreachable,
}

/// State shared by the listeners and tasks of one node.
///
/// The configuration is a pointer to an immutable version and is replaced atomically.
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
    /// Client through which the node records metrics.
    pub metrics: MetricClient,
    /// Recorded metrics.
    pub metric_sink: MetricSink,
    /// Bytes exchanged with other nodes.
    pub peer_traffic: PeerTraffic,
    /// Members, configuration versions and records that gossip replicates between the nodes.
    pub gossip: GossipState,
    config: ArcSwapOption<ConfigVersion>,
    applied_at: AtomicU64,
    backends: Mutex<BackendTable>,
    /// Copies of servers' departures at other nodes.
    pub(crate) departure_copies: DepartureCopies,
    /// Version moves known to this node, their evidence and the error budget burn.
    pub rollout: RolloutState,
    /// Contact with other nodes, whose absence may mean that this VM's servers turn cold.
    pub contacts: ContactMonitor,
    /// Wakes the task that asks servers which may be cold.
    pub(crate) cold_events: Notify,
    /// Latest era of the platform that this node knows of.
    pub platform_eras: EraTracker,
    /// Evacuations of data centres known to this node.
    pub placement: PlacementState,
    /// Usage caps of client accounts.
    pub usage: UsageState,
    /// Admission and execution state of requests.
    pub requests: Arc<RequestState>,
    /// What this node holds for its clients.
    pub holding: Arc<HoldingState>,
    log_limiter: Mutex<LogLimiter>,
    is_draining: AtomicBool,
    /// Whether the last call to the platform failed; only changes are logged.
    has_platform_failed: AtomicBool,
    request_count: AtomicU64,
}

impl NodeState {
    /// Creates the state of a node that has no configuration yet.
    #[must_use]
    pub fn new(settings: NodeSettings, addresses: NodeAddresses, logger: Logger) -> Arc<Self> {
        let clock = SystemClock::start();
        let retry_policy = settings.retries;
        let backend_lease = settings
            .local
            .as_ref()
            .map_or(LEASE_DURATION, |local| local.lease);
        let holds_slots = settings
            .local
            .as_ref()
            .is_some_and(|local| local.is_silent_when_full);
        let metric_sink = MetricSink::default();
        let gossip = new_gossip_state(&settings, addresses, clock.now());
        let source = EvidenceSource {
            node: settings.node.clone(),
            incarnation: gossip.read(|node| node.own().incarnation),
        };
        let usage = UsageState::new(settings.node.clone(), source.incarnation, settings.usage);
        let rollout = RolloutState::new(
            source,
            settings.data_centre.clone(),
            settings.exposure_limit,
        );
        let holding = HoldingState::new(clock, metric_sink.client(), settings.holding);
        Arc::new(Self {
            holding,
            settings,
            addresses,
            gossip,
            rollout,
            usage,
            peer_traffic: PeerTraffic::default(),
            clock,
            logger,
            metrics: metric_sink.client(),
            metric_sink,
            config: ArcSwapOption::empty(),
            applied_at: AtomicU64::new(0),
            backends: Mutex::new(BackendTable::held(backend_lease)),
            departure_copies: DepartureCopies::default(),
            contacts: ContactMonitor::new(clock.now()),
            cold_events: Notify::new(),
            platform_eras: EraTracker::default(),
            placement: PlacementState::default(),
            requests: Arc::new(RequestState::new(clock, retry_policy, holds_slots)),
            log_limiter: Mutex::default(),
            is_draining: AtomicBool::new(false),
            has_platform_failed: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
        })
    }

    /// Returns the current instant of the node's clock.
    #[must_use]
    pub fn now(&self) -> ClockInstant {
        self.clock.now()
    }

    /// Returns the active configuration version.
    #[must_use]
    pub fn config(&self) -> Option<Arc<ConfigVersion>> {
        self.config.load_full()
    }

    /// Returns the limits of callers' connections.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        let config = self.config.load();
        let stated = config.as_ref().map(|config| config.snapshot().limits);
        self.settings.callers.limits.or(stated.unwrap_or_default())
    }

    /// Returns the instant at which the active version was applied.
    #[must_use]
    pub fn applied_at(&self) -> ClockInstant {
        ClockInstant::from_micros(self.applied_at.load(Ordering::Relaxed))
    }

    /// Activates a version, which the kernel has checked to be newer than the active one.
    pub fn apply_config(&self, version: Arc<ConfigVersion>) {
        let stamp = version.stamp();
        self.applied_at
            .store(self.now().as_micros(), Ordering::Relaxed);
        self.apply_warm_up_rules(&version);
        self.config.store(Some(version));
        self.count("config_applied");
        info!(self.logger, "{}", EventName::ConfigApplied;
            "version" => stamp.number.get(), "hash" => stamp.hash.to_string());
    }

    fn apply_warm_up_rules(&self, version: &ConfigVersion) {
        let services = version.snapshot().services.iter();
        let rules = services.filter_map(|(name, spec)| Some((name.clone(), spec.warm_up?)));
        let rules: BTreeMap<_, _> = rules.collect();
        let rates = rules.iter().map(|(name, rule)| (name.clone(), rule.rate));
        self.requests
            .load_balancer()
            .set_cold_rates(rates.collect());
        self.backends().set_warm_up_rules(rules);
        self.cold_events.notify_one();
    }

    /// Returns the node's incarnation, which changes when the node rejoins after a pause.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationNumber {
        self.gossip.read(|node| node.own().incarnation)
    }

    /// Returns a snapshot of the member table.
    #[must_use]
    pub fn members(&self) -> Arc<MemberTable> {
        self.gossip.members()
    }

    /// Returns the peer address of `node`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] if the node is not known.
    pub fn peer_address_of(&self, node: &NodeName) -> Result<SocketAddr, MeshError> {
        let address = self
            .gossip
            .read(|gossip| gossip.members().get(node).map(|row| row.peer_address));
        address.ok_or_else(|| {
            MeshError::new(ErrorKind::NoBackend, format!("node {node} is not known"))
        })
    }

    /// Locks and returns the table of backend servers on this VM.
    pub fn backends(&self) -> MutexGuard<'_, BackendTable> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges a record and, if it changed, spreads it to every node. Returns whether it changed.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`RecordTable::merge`](bronzelb_kernel::spread::RecordTable::merge).
    pub fn put_record(
        &self,
        key: RecordKey,
        value: impl Into<RecordValue>,
    ) -> Result<bool, MeshError> {
        let value = value.into();
        self.gossip.step(|node, _| node.put_record(key, value))
    }

    /// Returns the record under `key`.
    #[must_use]
    pub fn record(&self, key: &RecordKey) -> Option<RecordValue> {
        self.gossip.read(|node| node.records().get(key).cloned())
    }

    /// Returns a copy of all records.
    #[must_use]
    pub fn records(&self) -> RecordTable {
        self.gossip.read(|node| node.records().clone())
    }

    /// Subscribes to record changes, whether made by this node or another.
    ///
    /// A receiver that lags too far behind gets an error and has to call [`NodeState::records`]
    /// again.
    #[must_use]
    pub fn record_changes(&self) -> broadcast::Receiver<RecordEntry> {
        self.gossip.record_changes()
    }

    /// Checks that the node may act on its local state: it was not paused for longer than its
    /// lease, or has since refreshed the state from the platform or its peers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] otherwise, with the time of a retry.
    pub fn check_lease(&self) -> Result<(), MeshError> {
        let now = self.now();
        if self.gossip.read(|node| node.may_act(now)) {
            return Ok(());
        }
        let message = "the node is starting, or was paused and has not rejoined the mesh yet";
        let error = MeshError::new(ErrorKind::NotReady, message);
        Err(error.with_retry_at(now.after(LEASE_RETRY_DELAY)))
    }

    /// Checks that the node may pass other nodes' requests to its backend servers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] otherwise, with the time of a retry.
    pub fn check_host(&self) -> Result<(), MeshError> {
        let now = self.now();
        match self.gossip.read(|node| node.may_host(now)) {
            true => Ok(()),
            false => self.check_lease(),
        }
    }

    /// Removes backend servers whose lease has expired.
    pub(crate) fn expire_backends(&self) {
        let expired = self.backends().expire(self.now());
        for name in &expired {
            info!(self.logger, "{}", EventName::BackendLeft; "backend" => name.to_string());
        }
        if !expired.is_empty() {
            self.publish_backends();
        }
    }

    /// Uses the servers that have announced themselves, once this node knows the departures that its
    /// predecessor has acknowledged.
    pub(crate) fn release_backends(&self) {
        let now = self.now();
        let is_changed = self.backends().release(now);
        if !is_changed {
            return;
        }
        self.cold_events.notify_one();
        self.publish_backends();
        let started_at = ClockInstant::from_micros(self.incarnation().get());
        let names: Vec<_> = self
            .backends()
            .iter()
            .map(|(name, _)| name.to_string())
            .collect();
        info!(self.logger, "{}", EventName::BackendAnnounced; "backend" => names.join(" "),
            "held_ms" => started_at.elapsed(now).as_millis());
    }

    /// Publishes the request times of this VM's backend servers to the mesh if they changed.
    pub(crate) fn publish_times(&self) {
        let now = self.now();
        let members = self.gossip.read(|node| node.members().live().count());
        let mut is_changed = false;
        for (name, runtime) in self.requests.backend_runtimes() {
            let update =
                |times: &mut TimePublisher| runtime.slot_limiter.publish_times(now, members, times);
            is_changed |= self.backends().update_times(&name, update);
        }
        if is_changed {
            self.publish_backends();
        }
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown: the node is no longer ready, and closes callers' connections
    /// after their next response.
    pub fn begin_drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        info!(self.logger, "{}", EventName::Draining);
    }

    /// Announces to the mesh that this node and its backend servers accept no new requests.
    pub fn announce_drain(&self) {
        self.gossip.step(|node, _| node.drain());
    }

    /// Returns whether this node, or another that reported it, recently reached the platform.
    #[must_use]
    pub fn platform_health(&self) -> PlatformHealth {
        let now = self.now();
        match self.gossip.read(|node| node.platform_state(now)) {
            PlatformState::Unreachable(_) => PlatformHealth::Unreachable,
            PlatformState::Unknown | PlatformState::Reachable(_) => PlatformHealth::Reachable,
        }
    }

    /// Returns whether the node accepts requests: it has an active version, has finished starting,
    /// holds its lease and is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        !self.is_draining()
            && self.config().is_some()
            && self.gossip.read(|node| node.is_ready(now))
    }

    /// Records whether a call to the platform was answered, and logs changes.
    pub fn record_platform_result(&self, failure: Option<&MeshError>) {
        let has_failed = failure.is_some();
        if self.has_platform_failed.swap(has_failed, Ordering::Relaxed) == has_failed {
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
        self.gossip.read(|node| node.own().state)
    }

    /// Publishes this VM's backend servers to the mesh.
    pub fn publish_backends(&self) {
        let rows = self.backends().rows();
        self.gossip.step(|node, _| node.set_backends(rows));
    }

    /// Returns the address at which other nodes reach this node.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        advertised_peer_address(&self.settings, self.addresses)
    }

    /// Generates an identifier for a request that enters the mesh at this node.
    pub fn next_request_id(&self) -> CompactString {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}-{}-{number}", self.settings.node, self.incarnation())
    }

    /// Returns whether a line of `event` may be logged now; counts it as suppressed otherwise.
    pub(crate) fn should_log(&self, event: EventName) -> bool {
        let mut log_limiter = self
            .log_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        log_limiter.try_acquire(self.now(), event)
    }

    /// Logs how many lines were suppressed since the last call.
    pub(crate) fn log_suppressed(&self) {
        let mut log_limiter = self
            .log_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (event, count) in log_limiter.take_suppressed() {
            info!(self.logger, "{}", EventName::LinesSuppressed;
                "suppressed" => event.name(), "lines" => count);
        }
    }

    /// Increments the counter `name` with the label `label` = `value`.
    pub fn count_labeled(&self, name: &str, label: &str, value: &str) {
        // Cannot fail: the sink is in memory.
        let _ = self
            .metrics
            .incr_with_tags(name)
            .with_tag(label, value)
            .try_send();
    }

    /// Records a duration in the histogram `name` with the label `label` = `value`.
    pub fn observe_duration(&self, name: &str, label: &str, value: &str, duration: TimeBudget) {
        let timer = self.metrics.time_with_tags(name, duration.as_millis());
        // Cannot fail: the sink is in memory.
        let _ = timer.with_tag(label, value).try_send();
    }

    /// Increments the counter `name`.
    pub fn count(&self, name: &str) {
        // Cannot fail: the sink is in memory.
        let _ = self.metrics.incr(name);
    }
}

fn advertised_peer_address(settings: &NodeSettings, addresses: NodeAddresses) -> SocketAddr {
    settings.peers.advertise.unwrap_or(addresses.peers)
}

fn new_gossip_state(
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
        peer_address: advertised_peer_address(settings, addresses),
        backends: Vec::new(),
    };
    let options = GossipOptions {
        mode: settings.spread.mode,
        is_first_start: settings.is_first_start,
        ..GossipOptions::default()
    };
    let seeds = settings.peers.seeds.clone();
    let mut rng = StdRng::from_os_rng();
    let node = GossipNode::new(settings.mesh.clone(), own, seeds, options, now, &mut rng);
    GossipState::new(node, rng)
}
