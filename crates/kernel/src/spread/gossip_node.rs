use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::Rng;

use crate::{
    clock::ClockInstant,
    config::{ConfigVersion, VersionStamp},
    error::MeshError,
    ids::{DataCentre, MeshName, NodeName},
    member::{
        BackendRow, LeaseGuard, LeaseSchedule, MemberRow, MemberState, MemberTable, MemberView,
        MergeOutcome,
    },
    spread::{
        FetchScheduler, GossipAction, GossipEvent, GossipOptions, JoinPacer, PeerHeader,
        PeerSelector, PlatformPoll, PlatformState, ReadinessGate, RecordEntry, RecordKey,
        RecordReplica, RecordTable, RecordValue, RootDigest, TransferLimiter, VersionStore,
        return_watch::ReturnWatch,
    },
};

const MAX_SEEDS: usize = 64;

/// Failure counts of a gossip node since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Versions that were refused.
    pub refused: u64,
    /// Fetched contents that did not match their stamp.
    pub altered: u64,
    /// Transfers that were deferred because too many were in progress.
    pub deferred_transfers: u64,
    /// Messages to which a peer did not reply.
    pub unanswered_messages: u64,
    /// Malformed records.
    pub invalid_records: u64,
    /// Pauses of the process that outlasted its lease.
    pub pauses: u64,
}

/// Gossip state of one node: configuration versions, membership and records.
///
/// The node is a state machine without I/O. The caller passes in the time, randomness, messages and
/// replies, carries out the actions that [`GossipNode::take_actions`] returns, and calls
/// [`GossipNode::tick`] every few tens of milliseconds.
#[derive(Clone, Debug)]
pub struct GossipNode {
    pub(crate) options: GossipOptions,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) view: MemberView,
    pub(crate) lease_guard: LeaseGuard,
    pub(crate) records: RecordReplica,
    pub(crate) versions: VersionStore,
    pub(crate) active_version: Option<Arc<ConfigVersion>>,
    pub(crate) active_since: Option<ClockInstant>,
    pub(crate) fetches: FetchScheduler,
    pub(crate) transfer_limiter: TransferLimiter,
    pub(crate) readiness: ReadinessGate,
    /// When the node started, or rejoined after a pause.
    pub(crate) started_at: ClockInstant,
    /// When a peer last exchanged messages with this node.
    pub(crate) contact_at: Option<ClockInstant>,
    /// Whether a node that knows no peer has waited long enough for one.
    pub(crate) has_waited_for_peers: bool,
    pub(crate) platform_poll: PlatformPoll,
    /// When the platform last answered any node, as far as this node knows.
    pub(crate) platform_seen_at: Option<ClockInstant>,
    /// When the platform last answered with operators' orders all of which are among this node's
    /// records.
    pub(crate) orders_seen_at: Option<ClockInstant>,
    /// Whether the node must know the operators' orders before it is ready.
    pub(crate) requires_orders: bool,
    pub(crate) lease_schedule: LeaseSchedule,
    pub(crate) peer_selector: PeerSelector,
    pub(crate) return_watch: ReturnWatch,
    /// Number of outstanding indirect probes of each probed member.
    pub(crate) pending_probes: BTreeMap<NodeName, usize>,
    pub(crate) stamp_push_rounds: u8,
    pub(crate) next_push: ClockInstant,
    /// When rows of which only hints have changed may be pushed again.
    pub(crate) next_hint_push: ClockInstant,
    pub(crate) next_exchange: ClockInstant,
    /// End of the period of frequent exchanges after a start, which speeds up mutual discovery.
    pub(crate) join_deadline: ClockInstant,
    pub(crate) join_pacer: JoinPacer,
    pub(crate) exchange_count: u32,
    /// Largest number of buckets that the latest reconciliation asked for.
    pub(crate) requested_buckets: u8,
    /// Time of the latest tick.
    pub(crate) ticked_at: ClockInstant,
    /// Whether this node's records have held, at some time since the start of the process, all that
    /// a peer knew.
    pub(crate) has_peer_records: bool,
    /// The same for a serving peer.
    pub(crate) has_serving_records: bool,
    pub(crate) counters: GossipCounters,
    pub(crate) actions: Vec<GossipAction>,
}

impl GossipNode {
    /// Creates a node in the starting state, without any version.
    ///
    /// `seeds` are addresses at which the node may find its first peers.
    pub fn new(
        mesh: MeshName,
        own: MemberRow,
        seeds: Vec<SocketAddr>,
        options: GossipOptions,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Self {
        let view = MemberView::new(
            own,
            options.member_push_rounds,
            options.suspicion_timeout,
            options.tombstone_ttl,
        );
        Self {
            seeds,
            view,
            lease_guard: LeaseGuard::new(now, options.lease_duration),
            records: RecordReplica::default(),
            versions: VersionStore::new(mesh),
            active_version: None,
            active_since: None,
            fetches: FetchScheduler::default(),
            transfer_limiter: TransferLimiter::new(options.max_transfers),
            readiness: ReadinessGate::new(
                now.after(options.platform_wait),
                now.after(options.startup_timeout),
            ),
            started_at: now,
            contact_at: None,
            has_waited_for_peers: false,
            platform_poll: PlatformPoll::new(now, rng),
            platform_seen_at: None,
            orders_seen_at: None,
            requires_orders: false,
            lease_schedule: LeaseSchedule::new(now, options.is_first_start, rng),
            peer_selector: PeerSelector::default(),
            return_watch: ReturnWatch::default(),
            pending_probes: BTreeMap::new(),
            stamp_push_rounds: 0,
            next_push: now,
            next_hint_push: now,
            next_exchange: now,
            join_pacer: JoinPacer::default(),
            join_deadline: now.after(options.join_period),
            exchange_count: 0,
            requested_buckets: 0,
            ticked_at: now,
            has_peer_records: false,
            has_serving_records: false,
            counters: GossipCounters::default(),
            actions: Vec::new(),
            options,
        }
    }

    /// Takes the actions that were queued since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<GossipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the active configuration version.
    #[must_use]
    pub const fn active_version(&self) -> Option<&Arc<ConfigVersion>> {
        self.active_version.as_ref()
    }

    /// Returns when the active version was activated.
    #[must_use]
    pub const fn active_since(&self) -> Option<ClockInstant> {
        self.active_since
    }

    /// Returns whether the node may accept requests: it has an active version, its own lease is
    /// valid, and it is neither starting nor draining.
    #[must_use]
    pub fn is_ready(&self, now: ClockInstant) -> bool {
        self.may_act(now)
            && self.active_version.is_some()
            && self.own().state == MemberState::Serving
    }

    /// Returns whether the node may act on its state: its own lease is valid, and it has refreshed
    /// that state from the platform or its peers since its start or its latest pause.
    #[must_use]
    pub const fn may_act(&self, now: ClockInstant) -> bool {
        self.readiness.is_open() && self.lease_guard.is_valid(now)
    }

    /// Returns whether the node may pass other nodes' requests to the backend servers beside it.
    ///
    /// This does not wait for the platform as [`GossipNode::may_act`] does, because the entry node
    /// is ready: it has matched the request against its configuration and knows the operators' orders.
    #[must_use]
    pub fn may_host(&self, now: ClockInstant) -> bool {
        let has_contact = self.contact_at >= Some(self.started_at);
        self.may_act(now) || (self.lease_guard.is_valid(now) && has_contact)
    }

    /// Returns when this node's own lease expires unless it is renewed.
    #[must_use]
    pub const fn lease_deadline(&self) -> ClockInstant {
        self.lease_guard.deadline()
    }

    /// Returns this node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        self.view.own()
    }

    /// Returns the known members.
    #[must_use]
    pub const fn members(&self) -> &MemberTable {
        self.view.table()
    }

    /// Returns the records.
    #[must_use]
    pub const fn records(&self) -> &RecordTable {
        self.records.table()
    }

    /// Returns the versions that this node refused, with the reasons.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<VersionStamp, MeshError> {
        self.versions.refused()
    }

    /// Returns the state of the platform, as seen by this node's own reads or reported by its
    /// peers.
    #[must_use]
    pub fn platform_state(&self, now: ClockInstant) -> PlatformState {
        match (self.platform_poll.state(), self.platform_seen_at) {
            (PlatformState::Unreachable(since), Some(seen)) if seen <= since => {
                PlatformState::Unreachable(since)
            }
            (_, Some(seen)) if seen >= now.before(self.options.silence_timeout) => {
                PlatformState::Reachable(seen)
            }
            (_, Some(seen)) => PlatformState::Unreachable(seen),
            (state, None) => state,
        }
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Returns the other data centres without contact within the silence timeout.
    #[must_use]
    pub fn silent_data_centres(&self, now: ClockInstant) -> Vec<DataCentre> {
        self.view
            .silent_data_centres(now.before(self.options.silence_timeout))
    }

    /// Returns whether this node is partitioned from every other data centre: none had contact with
    /// it within the silence timeout.
    #[must_use]
    pub fn is_cut_off(&self, now: ClockInstant) -> bool {
        self.view
            .is_cut_off(now.before(self.options.silence_timeout))
    }

    /// Makes the node ready only once it knows the operators' orders, from its own read of the
    /// platform or from a peer that has them.
    ///
    /// Platforms to which operators write no orders need not call this.
    pub const fn require_orders(&mut self) {
        self.requires_orders = true;
    }

    /// Returns whether this node's records hold the operators' orders as of a read of the platform
    /// since the node's start or its latest pause, or of an earlier one if the platform has not
    /// answered by the platform deadline.
    pub(crate) fn knows_orders(&self, now: ClockInstant) -> bool {
        let is_fresh = self.orders_seen_at > Some(self.started_at);
        let may_be_older = self.readiness.is_platform_overdue(now);
        !self.requires_orders || is_fresh || (may_be_older && self.orders_seen_at.is_some())
    }

    /// Returns whether this node's records hold what other nodes knew when its process started, as far
    /// as another node can tell.
    #[must_use]
    pub fn knows_records(&self, now: ClockInstant) -> bool {
        let own = &self.view.own().node;
        let mut peers = self.view.table().live().filter(|row| row.node != *own);
        let may_learn = peers.any(|row| row.state == MemberState::Serving);
        let wait = match may_learn {
            true => self.options.startup_timeout,
            false => self.options.record_wait,
        };
        let has_waited = self.started_at.after(wait).has_passed(now);
        // Nodes that start together know no more than each other.
        let has_all = self.has_serving_records || (self.has_peer_records && !may_learn);
        has_all || has_waited
    }

    /// Adds peer addresses that were found in the platform's lease rows.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.seeds.contains(&address) && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(address);
            }
        }
        // Makes the next tick contact some of them.
        self.next_exchange = ClockInstant::default();
    }

    /// Writes this node's lease row again soon, because the platform may have lost it.
    pub fn rewrite_lease_row(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        self.lease_schedule.write_again(now, rng);
    }

    /// Replaces this node's local backend servers and pushes the change, if any.
    pub fn set_backends(&mut self, backends: Vec<BackendRow>) {
        if self.view.set_backends(backends) == MergeOutcome::Changed {
            self.notify(GossipEvent::MembersChanged);
        }
    }

    /// Stops accepting new requests and pushes that state to the mesh.
    pub fn drain(&mut self) {
        self.change_state(MemberState::Draining);
    }

    /// Pushes to the mesh that this node leaves.
    pub fn leave(&mut self) {
        self.change_state(MemberState::Gone);
    }

    /// Merges a record, pushes it if it changed, and returns whether it changed.
    ///
    /// # Errors
    ///
    /// Those of [`RecordTable::merge`].
    pub fn put_record(&mut self, key: RecordKey, value: RecordValue) -> Result<bool, MeshError> {
        self.merge_record(RecordEntry { key, value })
    }

    /// Pushes a record once more, because too few nodes have confirmed it.
    pub fn push_record_again(&mut self, key: &RecordKey) {
        self.records.push_again(key, self.options.push_rounds);
    }

    pub(crate) fn merge_record(&mut self, entry: RecordEntry) -> Result<bool, MeshError> {
        let rounds = self.options.push_rounds;
        let has_changed = self.records.merge(&entry, rounds, self.ticked_at)?;
        if has_changed {
            let value = self.records.table().get(&entry.key);
            let value = value.cloned().unwrap_or(entry.value);
            let merged = RecordEntry {
                key: entry.key,
                value,
            };
            self.notify(GossipEvent::RecordChanged(merged));
        }
        Ok(has_changed)
    }

    pub(crate) fn change_state(&mut self, state: MemberState) {
        if self.view.set_state(state) {
            self.notify(GossipEvent::MembersChanged);
        }
    }

    pub(crate) fn notify(&mut self, event: GossipEvent) {
        self.actions.push(GossipAction::Notify(event));
    }

    /// Returns whether a change waits for the next round of pushes; hints alone do not count.
    pub(crate) fn has_pushes(&self) -> bool {
        self.view.has_pushes() || !self.records.is_push_queue_empty() || self.stamp_push_rounds > 0
    }

    /// Returns the header for this node's messages.
    #[must_use]
    pub fn header(&self) -> PeerHeader {
        let own = self.view.own();
        // A starting peer takes `platform_seen_at` as the instant at which `stamp` was the newest
        // version, so it is left out while this node still has to fetch a newer one.
        let is_newest = self.fetches.newest_wanted(&self.versions).is_none();
        PeerHeader {
            node: own.node.clone(),
            data_centre: own.data_centre.clone(),
            stamp: self.versions.stamp(),
            platform_seen_at: self.platform_seen_at.filter(|_| is_newest),
            orders_seen_at: self.orders_seen_at,
        }
    }

    pub(crate) fn root_digest(&self) -> RootDigest {
        RootDigest {
            members: self.view.table().digest().root(),
            records: self.records.digest().root(),
        }
    }
}
