use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use bronzelb_kernel::{
    clock::ClockInstant,
    config::ConfigVersion,
    ids::IncarnationNumber,
    member::{MemberRow, MemberState, MemberTable},
    spread::RecordTable,
};
use cadence::CountedExt;
use compact_str::{CompactString, format_compact};
use slog::{Logger, info};

use crate::{
    backends::BackendTable,
    forward::RequestState,
    log::EventName,
    metrics::{MetricClient, MetricSink},
    node::SystemClock,
    settings::NodeSettings,
};

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
    /// Run of the node.
    pub incarnation: IncarnationNumber,
    /// Clock of the node.
    pub clock: SystemClock,
    /// Logger of the node.
    pub logger: Logger,
    /// Client by which the node counts.
    pub metrics: MetricClient,
    /// Metrics that were counted.
    pub metric_sink: MetricSink,
    config: ArcSwapOption<ConfigVersion>,
    applied_at: AtomicU64,
    members: Mutex<MemberTable>,
    backends: Mutex<BackendTable>,
    records: Mutex<RecordTable>,
    /// Requests that the node admits and runs.
    pub requests: Arc<RequestState>,
    is_draining: AtomicBool,
    is_platform_away: AtomicBool,
    revision: AtomicU64,
    request_count: AtomicU64,
}

impl NodeState {
    /// Builds the state of a node that holds no configuration yet.
    #[must_use]
    pub fn new(settings: NodeSettings, addresses: NodeAddresses, logger: Logger) -> Arc<Self> {
        let clock = SystemClock::start();
        let metric_sink = MetricSink::default();
        Arc::new(Self {
            settings,
            addresses,
            incarnation: IncarnationNumber::new(clock.now().as_micros()),
            clock,
            logger,
            metrics: metric_sink.client(),
            metric_sink,
            config: ArcSwapOption::empty(),
            applied_at: AtomicU64::new(0),
            members: Mutex::default(),
            backends: Mutex::default(),
            records: Mutex::default(),
            requests: Arc::new(RequestState::new(clock)),
            is_draining: AtomicBool::new(false),
            is_platform_away: AtomicBool::new(false),
            revision: AtomicU64::new(0),
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

    /// Puts `version` in force unless a version as high is already, and returns whether it did.
    pub fn apply_config(&self, version: ConfigVersion) -> bool {
        let stamp = version.stamp();
        let version = Arc::new(version);
        let replaced = self.config.rcu(|held| match held {
            Some(held) if held.stamp().number >= stamp.number => Some(Arc::clone(held)),
            _ => Some(Arc::clone(&version)),
        });
        let is_newer = replaced.is_none_or(|held| held.stamp().number < stamp.number);
        if is_newer {
            let now = self.now().as_micros();
            self.applied_at.store(now, Ordering::Relaxed);
            self.count("config_applied");
            info!(self.logger, "{}", EventName::ConfigApplied;
                "version" => stamp.number.get(), "hash" => stamp.hash.to_string());
        }
        is_newer
    }

    /// Returns the members, locked.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the backend servers beside this node, locked.
    pub fn backends(&self) -> MutexGuard<'_, BackendTable> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the replicated records, locked.
    pub fn records(&self) -> MutexGuard<'_, RecordTable> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        info!(self.logger, "{}", EventName::Draining);
        self.refresh_own_row();
    }

    /// Returns whether the platform answered at the latest attempt.
    #[must_use]
    pub fn platform_health(&self) -> PlatformHealth {
        if self.is_platform_away.load(Ordering::Relaxed) {
            PlatformHealth::Away
        } else {
            PlatformHealth::Present
        }
    }

    /// Records whether the platform answered.
    pub fn set_platform_health(&self, health: PlatformHealth) {
        let is_away = health == PlatformHealth::Away;
        if self.is_platform_away.swap(is_away, Ordering::Relaxed) != is_away {
            info!(self.logger, "{}", EventName::PlatformState; "away" => is_away);
        }
    }

    /// Returns the lifecycle state of this node.
    #[must_use]
    pub fn member_state(&self) -> MemberState {
        if self.is_draining() {
            MemberState::Draining
        } else if self.config.load().is_some() {
            MemberState::Serving
        } else {
            MemberState::Starting
        }
    }

    /// Raises the revision of this node's own row and takes in its current content.
    pub fn refresh_own_row(&self) {
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        let backends = self.backends().rows();
        let row = MemberRow {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            revision,
            state: self.member_state(),
            data_centre: self.settings.data_centre.clone(),
            peer_address: self.peer_address(),
            backends,
        };
        self.members().merge(row);
    }

    /// Returns the address that other nodes connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.settings
            .peers
            .advertise
            .unwrap_or(self.addresses.peers)
    }

    /// Draws an identifier for a request that enters at this node.
    pub fn next_request_id(&self) -> CompactString {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}-{}-{number}", self.settings.node, self.incarnation)
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        // The sink is memory and does not fail.
        let _ = self.metrics.incr(name);
    }
}
