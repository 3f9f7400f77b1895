use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::Rng;

use crate::{
    clock::ClockInstant,
    config::{ConfigVersion, VersionStamp},
    error::MeshError,
    ids::{DataCentre, MeshName, NodeName},
    member::{
        BackendRow, LeaseGuard, LeaseSchedule, MemberRow, MemberState, MemberTable, Membership,
    },
    spread::{
        FetchScheduler, GossipAction, GossipEvent, GossipOptions, PeerHeader, PeerSelector,
        PlatformPoll, PlatformState, ReadinessGate, RecordEntry, RecordKey, RecordReplica,
        RecordTable, RecordValue, RootDigest, TransferLimiter, VersionStore,
    },
};

const MAX_SEEDS: usize = 64;

/// Counts of what went wrong while spreading, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Versions that were refused as a whole.
    pub refused: u64,
    /// Contents that did not match their stamp.
    pub altered: u64,
    /// Transfers that were put off because too many were under way.
    pub deferred_transfers: u64,
    /// Messages that a peer did not answer.
    pub unanswered_messages: u64,
    /// Records that were malformed.
    pub invalid_records: u64,
    /// Pauses longer than the lease.
    pub pauses: u64,
}

/// Everything by which one node takes part in spreading: versions, members and records.
///
/// The node is a state machine: the caller passes in time, randomness, messages and answers, and
/// carries out the actions that [`GossipNode::take_actions`] returns. It calls
/// [`GossipNode::tick`] every few tens of milliseconds.
#[derive(Clone, Debug)]
pub struct GossipNode {
    pub(crate) options: GossipOptions,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) membership: Membership,
    pub(crate) lease_guard: LeaseGuard,
    pub(crate) records: RecordReplica,
    pub(crate) versions: VersionStore,
    pub(crate) active_version: Option<Arc<ConfigVersion>>,
    pub(crate) active_since: Option<ClockInstant>,
    pub(crate) fetches: FetchScheduler,
    pub(crate) transfer_limiter: TransferLimiter,
    pub(crate) readiness: ReadinessGate,
    pub(crate) platform_poll: PlatformPoll,
    /// When any node last heard from the platform, as far as this node knows.
    pub(crate) platform_seen_at: Option<ClockInstant>,
    pub(crate) lease_schedule: LeaseSchedule,
    pub(crate) peer_selector: PeerSelector,
    /// Indirect pending_probes that are still out, by probed member.
    pub(crate) pending_probes: BTreeMap<NodeName, usize>,
    pub(crate) stamp_push_rounds: u8,
    pub(crate) next_push: ClockInstant,
    pub(crate) next_exchange: ClockInstant,
    /// Until when the node exchanges often, so that it soon knows the others and they it.
    pub(crate) join_deadline: ClockInstant,
    pub(crate) exchange_count: u32,
    pub(crate) counters: GossipCounters,
    pub(crate) actions: Vec<GossipAction>,
}

impl GossipNode {
    /// Builds a starting node that holds nothing.
    ///
    /// `seeds` are addresses at which the node may find first peers.
    pub fn new(
        mesh: MeshName,
        own: MemberRow,
        seeds: Vec<SocketAddr>,
        options: GossipOptions,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Self {
        let membership = Membership::new(
            own,
            options.member_push_rounds,
            options.suspicion_timeout,
            options.tombstone_ttl,
        );
        Self {
            seeds,
            membership,
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
            platform_poll: PlatformPoll::new(now, rng),
            platform_seen_at: None,
            lease_schedule: LeaseSchedule::new(now, rng),
            peer_selector: PeerSelector::default(),
            pending_probes: BTreeMap::new(),
            stamp_push_rounds: 0,
            next_push: now,
            next_exchange: now,
            join_deadline: now.after(options.join_period),
            exchange_count: 0,
            counters: GossipCounters::default(),
            actions: Vec::new(),
            options,
        }
    }

    /// Takes the actions that have come up since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<GossipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the version that is in force on this node.
    #[must_use]
    pub const fn active_version(&self) -> Option<&Arc<ConfigVersion>> {
        self.active_version.as_ref()
    }

    /// Returns since when the version in force has been so.
    #[must_use]
    pub const fn active_since(&self) -> Option<ClockInstant> {
        self.active_since
    }

    /// Returns whether the node may take requests: a version is in force, the node's own lease
    /// holds, and it is neither starting nor draining.
    #[must_use]
    pub fn is_ready(&self, now: ClockInstant) -> bool {
        self.may_act(now)
            && self.active_version.is_some()
            && self.own().state == MemberState::Serving
    }

    /// Returns whether the node may act on what it knows: its own lease holds, and since its start
    /// or its latest pause it has asked the platform or its peers anew.
    #[must_use]
    pub const fn may_act(&self, now: ClockInstant) -> bool {
        self.readiness.is_open() && self.lease_guard.is_valid(now)
    }

    /// Returns when this node's lease lapses unless its timer renews it.
    #[must_use]
    pub const fn lease_deadline(&self) -> ClockInstant {
        self.lease_guard.deadline()
    }

    /// Returns this node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        self.membership.own()
    }

    /// Returns the members that this node knows.
    #[must_use]
    pub const fn members(&self) -> &MemberTable {
        self.membership.table()
    }

    /// Returns the records.
    #[must_use]
    pub const fn records(&self) -> &RecordTable {
        self.records.table()
    }

    /// Returns the versions that this node refused, and why.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<VersionStamp, MeshError> {
        self.versions.refused()
    }

    /// Returns what is known of the platform: by this node's own reads, or by what its peers tell.
    #[must_use]
    pub fn platform_state(&self, now: ClockInstant) -> PlatformState {
        match (self.platform_poll.state(), self.platform_seen_at) {
            (PlatformState::Away(since), Some(seen)) if seen <= since => PlatformState::Away(since),
            (_, Some(seen)) if seen >= now.before(self.options.silence_timeout) => {
                PlatformState::Reachable(seen)
            }
            (_, Some(seen)) => PlatformState::Away(seen),
            (state, None) => state,
        }
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Returns the data centres that have not been heard from for a while.
    #[must_use]
    pub fn silent_data_centres(&self, now: ClockInstant) -> Vec<DataCentre> {
        self.membership
            .silent_data_centres(now.before(self.options.silence_timeout))
    }

    /// Returns whether no other data centre has been heard from for a while.
    #[must_use]
    pub fn is_cut_off(&self, now: ClockInstant) -> bool {
        self.membership
            .is_cut_off(now.before(self.options.silence_timeout))
    }

    /// Takes in the addresses at which the platform's rows say that peers were lately.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.seeds.contains(&address) && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(address);
            }
        }
        // The next tick asks some of them.
        self.next_exchange = ClockInstant::default();
    }

    /// Replaces the backend servers beside this node and tells the mesh when they changed.
    pub fn set_backends(&mut self, backends: Vec<BackendRow>, now: ClockInstant) {
        if self.membership.set_backends(backends) {
            self.schedule_push(now);
            self.notify(GossipEvent::Members);
        }
    }

    /// Takes no new requests from now on and tells the mesh.
    pub fn drain(&mut self, now: ClockInstant) {
        self.change_state(MemberState::Draining, now);
    }

    /// Tells the mesh that this node ends.
    pub fn leave(&mut self, now: ClockInstant) {
        self.change_state(MemberState::Gone, now);
    }

    /// Merges a record and spreads it when that changed it; returns whether it did.
    ///
    /// # Errors
    ///
    /// Those of [`RecordTable::merge`].
    pub fn put_record(
        &mut self,
        key: RecordKey,
        value: RecordValue,
        now: ClockInstant,
    ) -> Result<bool, MeshError> {
        self.merge_record(RecordEntry { key, value }, now)
    }

    pub(crate) fn merge_record(
        &mut self,
        entry: RecordEntry,
        now: ClockInstant,
    ) -> Result<bool, MeshError> {
        let has_changed = self.records.merge(&entry, self.options.push_rounds)?;
        if has_changed {
            self.schedule_push(now);
            let value = self.records.table().get(&entry.key);
            let value = value.cloned().unwrap_or(entry.value);
            let merged = RecordEntry {
                key: entry.key,
                value,
            };
            self.notify(GossipEvent::Record(merged));
        }
        Ok(has_changed)
    }

    pub(crate) fn change_state(&mut self, state: MemberState, now: ClockInstant) {
        if self.membership.set_state(state) {
            self.schedule_push(now);
            self.notify(GossipEvent::Members);
        }
    }

    pub(crate) fn notify(&mut self, change: GossipEvent) {
        self.actions.push(GossipAction::Notify(change));
    }

    /// Lets the next tick push, without waiting for the next round.
    pub(crate) fn schedule_push(&mut self, now: ClockInstant) {
        self.next_push = self.next_push.min(now);
    }

    /// Returns the card that this node's messages carry.
    #[must_use]
    pub fn header(&self) -> PeerHeader {
        let own = self.membership.own();
        PeerHeader {
            node: own.node.clone(),
            data_centre: own.data_centre.clone(),
            stamp: self.versions.stamp(),
            platform_seen_at: self.platform_seen_at,
        }
    }

    pub(crate) fn root_digest(&self) -> RootDigest {
        RootDigest {
            members: self.membership.table().digest().root(),
            records: self.records.digest().root(),
        }
    }
}
