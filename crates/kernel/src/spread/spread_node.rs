use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::Rng;

use crate::{
    clock::ClockInstant,
    config::{ConfigVersion, VersionStamp},
    error::MeshError,
    ids::{DataCentre, MeshName, NodeName},
    member::{
        BackendRow, LeaseGuard, LeaseSchedule, MemberAgent, MemberRow, MemberState, MemberTable,
    },
    spread::{
        FetchPlan, GossipAction, GossipEvent, GossipOptions, PeerHeader, PeerPicker, PlatformState,
        RecordEntry, RecordKey, RecordLog, RecordTable, RecordValue, RootDigest, SourcePoll,
        StartGate, TransferGate, VersionHolder,
    },
};

const MAX_SEEDS: usize = 64;

/// Counts of what went wrong while spreading, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpreadCounters {
    /// Versions that were refused as a whole.
    pub refused: u64,
    /// Contents that did not match their stamp.
    pub altered: u64,
    /// Transfers that were put off because too many were under way.
    pub put_off: u64,
    /// Messages that a peer did not answer.
    pub unanswered: u64,
    /// Records that were malformed.
    pub bad_records: u64,
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
    pub(crate) rule: GossipOptions,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) agent: MemberAgent,
    pub(crate) guard: LeaseGuard,
    pub(crate) records: RecordLog,
    pub(crate) holder: VersionHolder,
    pub(crate) in_force: Option<Arc<ConfigVersion>>,
    pub(crate) in_force_at: Option<ClockInstant>,
    pub(crate) fetches: FetchPlan,
    pub(crate) transfers: TransferGate,
    pub(crate) gate: StartGate,
    pub(crate) poll: SourcePoll,
    /// When any node last heard from the platform, as far as this node knows.
    pub(crate) platform_seen_at: Option<ClockInstant>,
    pub(crate) row_leases: LeaseSchedule,
    pub(crate) picker: PeerPicker,
    /// Indirect probes that are still out, by probed member.
    pub(crate) probes: BTreeMap<NodeName, usize>,
    pub(crate) stamp_rounds: u8,
    pub(crate) next_push: ClockInstant,
    pub(crate) next_exchange: ClockInstant,
    /// Until when the node exchanges often, so that it soon knows the others and they it.
    pub(crate) join_deadline: ClockInstant,
    pub(crate) exchange_count: u32,
    pub(crate) counters: SpreadCounters,
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
        rule: GossipOptions,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Self {
        let agent = MemberAgent::new(own, rule.member_rounds, rule.suspicion, rule.tombstone);
        Self {
            seeds,
            agent,
            guard: LeaseGuard::new(now, rule.lease),
            records: RecordLog::default(),
            holder: VersionHolder::new(mesh),
            in_force: None,
            in_force_at: None,
            fetches: FetchPlan::default(),
            transfers: TransferGate::new(rule.max_transfers),
            gate: StartGate::new(now.after(rule.survey), now.after(rule.last_wait)),
            poll: SourcePoll::new(now, rng),
            platform_seen_at: None,
            row_leases: LeaseSchedule::new(now, rng),
            picker: PeerPicker::default(),
            probes: BTreeMap::new(),
            stamp_rounds: 0,
            next_push: now,
            next_exchange: now,
            join_deadline: now.after(rule.join),
            exchange_count: 0,
            counters: SpreadCounters::default(),
            actions: Vec::new(),
            rule,
        }
    }

    /// Takes the actions that have come up since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<GossipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the version that is in force on this node.
    #[must_use]
    pub const fn in_force(&self) -> Option<&Arc<ConfigVersion>> {
        self.in_force.as_ref()
    }

    /// Returns since when the version in force has been so.
    #[must_use]
    pub const fn in_force_at(&self) -> Option<ClockInstant> {
        self.in_force_at
    }

    /// Returns whether the node may take requests: a version is in force, the node's own lease
    /// holds, and it is neither starting nor draining.
    #[must_use]
    pub fn is_ready(&self, now: ClockInstant) -> bool {
        self.may_act(now) && self.in_force.is_some() && self.own().state == MemberState::Serving
    }

    /// Returns whether the node may act on what it knows: its own lease holds, and since its start
    /// or its latest pause it has asked the platform or its peers anew.
    #[must_use]
    pub const fn may_act(&self, now: ClockInstant) -> bool {
        self.gate.is_open() && self.guard.holds(now)
    }

    /// Returns when this node's lease lapses unless its timer renews it.
    #[must_use]
    pub const fn lease_deadline(&self) -> ClockInstant {
        self.guard.deadline()
    }

    /// Returns this node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        self.agent.own()
    }

    /// Returns the members that this node knows.
    #[must_use]
    pub const fn members(&self) -> &MemberTable {
        self.agent.table()
    }

    /// Returns the records.
    #[must_use]
    pub const fn records(&self) -> &RecordTable {
        self.records.table()
    }

    /// Returns the versions that this node refused, and why.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<VersionStamp, MeshError> {
        self.holder.refused()
    }

    /// Returns what is known of the platform: by this node's own reads, or by what its peers tell.
    #[must_use]
    pub fn platform_state(&self, now: ClockInstant) -> PlatformState {
        match (self.poll.state(), self.platform_seen_at) {
            (PlatformState::Away(since), Some(seen)) if seen <= since => PlatformState::Away(since),
            (_, Some(seen)) if seen >= now.before(self.rule.silence) => {
                PlatformState::Reachable(seen)
            }
            (_, Some(seen)) => PlatformState::Away(seen),
            (state, None) => state,
        }
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> SpreadCounters {
        self.counters
    }

    /// Returns the data centres that have not been heard from for a while.
    #[must_use]
    pub fn silent_data_centres(&self, now: ClockInstant) -> Vec<DataCentre> {
        self.agent
            .silent_data_centres(now.before(self.rule.silence))
    }

    /// Returns whether no other data centre has been heard from for a while.
    #[must_use]
    pub fn is_cut_off(&self, now: ClockInstant) -> bool {
        self.agent.is_cut_off(now.before(self.rule.silence))
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
        if self.agent.set_backends(backends) {
            self.hasten_push(now);
            self.report(GossipEvent::Members);
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
        let has_changed = self.records.merge(&entry, self.rule.push_rounds)?;
        if has_changed {
            self.hasten_push(now);
            let value = self.records.table().get(&entry.key);
            let value = value.cloned().unwrap_or(entry.value);
            let merged = RecordEntry {
                key: entry.key,
                value,
            };
            self.report(GossipEvent::Record(merged));
        }
        Ok(has_changed)
    }

    pub(crate) fn change_state(&mut self, state: MemberState, now: ClockInstant) {
        if self.agent.set_state(state) {
            self.hasten_push(now);
            self.report(GossipEvent::Members);
        }
    }

    pub(crate) fn report(&mut self, change: GossipEvent) {
        self.actions.push(GossipAction::Notify(change));
    }

    /// Lets the next tick push, without waiting for the next round.
    pub(crate) fn hasten_push(&mut self, now: ClockInstant) {
        self.next_push = self.next_push.min(now);
    }

    /// Returns the card that this node's messages carry.
    #[must_use]
    pub fn header(&self) -> PeerHeader {
        let own = self.agent.own();
        PeerHeader {
            node: own.node.clone(),
            data_centre: own.data_centre.clone(),
            stamp: self.holder.stamp(),
            platform_seen_at: self.platform_seen_at,
        }
    }

    pub(crate) fn root_digest(&self) -> RootDigest {
        RootDigest {
            members: self.agent.table().digest().root(),
            records: self.records.digest().root(),
        }
    }
}
