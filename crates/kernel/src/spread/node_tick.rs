//! Periodic work of a node.

use rand::{Rng, seq::IndexedRandom};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::DataCentre,
    member::{LEASE_ROW_TTL, LeaseRow, MemberRow, MemberState, MemberTable},
    spread::{
        GossipAction, GossipEvent, GossipNode, GossipRequest, JoinPacer, PeerTarget,
        READERS_PER_DATA_CENTRE, ReadinessGate, RecordEntry, SpreadMode, rank_nodes,
    },
};

/// Largest number of member rows, and of records, in one push.
const MAX_PUSHED_ENTRIES: usize = 32;
/// Largest number of member rows in one push of which only hints have changed.
const MAX_PUSHED_HINTS: usize = 64;
/// Peers of its own data centre with which a joining node exchanges at the same time.
const JOIN_FAN_OUT: usize = 2;
const JOIN_SEED_COUNT: usize = 2;
/// Number of known members from which a joining node contacts random members instead of seeds,
/// which every node of the fleet knows.
const MIN_KNOWN_WITHOUT_SEEDS: usize = 8;
/// Time after which a node that knows no peer reads the platform itself although the whole mesh
/// starts for the first time.
const PEER_WAIT: TimeBudget = TimeBudget::from_millis(1_200);
/// Number of nodes in each data centre that have a lease row in the platform. Seeds and rows
/// together must lead a starting node to a live one while many nodes fail.
const ANNOUNCED_PER_DATA_CENTRE: usize = 8;
/// Longest time between two ticks.
const MAX_TICK_INTERVAL: TimeBudget = TimeBudget::from_millis(500);
/// Longest time between two ticks while the node is starting.
const START_TICK_INTERVAL: TimeBudget = TimeBudget::from_millis(50);
/// Every n-th exchange also goes to a suspected or gone member.
const UNREACHABLE_EXCHANGE_PERIOD: u32 = 2;
/// Every n-th exchange also goes to a seed peer.
const SEED_EXCHANGE_PERIOD: u32 = 10;

impl GossipNode {
    /// Runs all periodic work that is due at `now`.
    pub fn tick(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        self.ticked_at = now;
        self.renew_lease(now);
        self.expire_members(now);
        self.poll_platform(now, rng);
        self.update_lease_row(now, rng);
        self.exchange(now, rng);
        self.contact_departed(now);
        self.push(now, rng);
        self.start_fetch(now, rng);
        self.update_readiness(now);
    }

    /// Returns whether a step has left work that must not wait for the next tick.
    #[must_use]
    pub fn needs_tick(&self) -> bool {
        !self.actions.is_empty() || self.has_pushes() || self.fetches.has_candidates()
    }

    /// Returns when periodic work is next due, at most half a second from `now`.
    #[must_use]
    pub fn next_tick(&self, now: ClockInstant) -> ClockInstant {
        if !self.actions.is_empty() {
            return now;
        }
        let latest = now.after(match self.readiness.is_open() {
            true => MAX_TICK_INTERVAL,
            false => START_TICK_INTERVAL,
        });
        let push = self.has_pushes().then_some(self.next_push);
        let hint_push = self.view.has_hint_pushes().then_some(self.next_hint_push);
        let fetch = self.fetches.next_start();
        let contact = self.return_watch.next_contact();
        let work = [push, hint_push, fetch, contact].into_iter().flatten();
        work.fold(latest.min(self.next_exchange), ClockInstant::min)
    }

    fn renew_lease(&mut self, now: ClockInstant) {
        if self.lease_guard.renew(now, self.options.lease_duration) {
            return;
        }
        self.counters.pauses += 1;
        self.view.rejoin(now);
        self.pending_probes.clear();
        self.readiness = ReadinessGate::new(
            now.after(self.options.platform_wait),
            now.after(self.options.startup_timeout),
        );
        self.next_exchange = now;
        self.join_deadline = now.after(self.options.join_period);
        self.join_pacer = JoinPacer::default();
        self.started_at = now;
        self.has_waited_for_peers = false;
        self.notify(GossipEvent::Resumed);
        self.notify(GossipEvent::MembersChanged);
    }

    fn expire_members(&mut self, now: ClockInstant) {
        let gone = self.view.expire(now);
        if gone.is_empty() {
            return;
        }
        for node in &gone {
            let table = self.view.table();
            self.return_watch
                .record_departure(now, node, &self.view.own().node, table);
        }
        self.notify(GossipEvent::MembersChanged);
    }

    fn poll_platform(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        self.has_waited_for_peers |= self.started_at.after(PEER_WAIT).has_passed(now);
        if !self.platform_poll.is_due(now) {
            return;
        }
        self.platform_poll
            .schedule_next(now, self.options.poll_interval, rng);
        if self.is_reader() {
            self.platform_poll.start_read(now);
            self.actions.push(GossipAction::ReadVersionRow);
        }
    }

    /// Renews this node's lease row in the platform if the node is announced there, and requests a
    /// scan for peers while it knows none.
    fn update_lease_row(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        if self.lease_schedule.take_due_write(now, rng) && self.is_announced() {
            let row = LeaseRow::of(self.view.own(), now, LEASE_ROW_TTL);
            self.actions.push(GossipAction::WriteLeaseRow(row));
        }
        let is_alone = self.view.table().live().count() <= 1;
        if is_alone && self.lease_schedule.take_due_scan(now, rng) {
            self.actions.push(GossipAction::FindSeeds);
        }
    }

    /// Returns whether this node reads the platform's version row.
    ///
    /// A node that starts again reads until it is ready, so that it does not begin with an older
    /// version than the newest one. Where the whole mesh starts for the first time, only the selected
    /// readers read, and nodes that know no peer or join nodes that hold a version.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        if self.options.mode == SpreadMode::Poll {
            return true;
        }
        let is_starting = !self.readiness.is_open();
        if is_starting && !self.options.is_first_start {
            return true;
        }
        if is_starting && self.view.table().live().count() <= 1 {
            return self.has_waited_for_peers;
        }
        let is_informed = !is_starting || self.readiness.has_platform_answer();
        let knows_version =
            self.versions.stamp().is_some() || self.fetches.newest_wanted(&self.versions).is_some();
        (knows_version && !is_informed) || self.reader_rank().is_some()
    }

    /// Returns this node's rank among the readers of its data centre, starting at 0.
    #[must_use]
    pub fn reader_rank(&self) -> Option<usize> {
        self.rank_among(READERS_PER_DATA_CENTRE)
    }

    /// Returns whether the platform keeps a lease row of this node, at which others can find the
    /// mesh. A few nodes of each data centre are enough for that.
    fn is_announced(&self) -> bool {
        self.rank_among(ANNOUNCED_PER_DATA_CENTRE).is_some()
    }

    fn rank_among(&self, count: usize) -> Option<usize> {
        let own = self.view.own();
        let ranked = rank_nodes(self.view.table(), &own.data_centre, count);
        ranked.iter().position(|node| *node == own.node)
    }

    /// Returns whether the node has served for long enough to know the other members.
    pub(crate) const fn has_joined(&self, now: ClockInstant) -> bool {
        self.readiness.is_open() && self.join_deadline.has_passed(now)
    }

    fn exchange(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        if !self.next_exchange.has_passed(now) {
            return;
        }
        self.exchange_count = self.exchange_count.wrapping_add(1);
        self.records.expire(now);
        let targets = if self.has_joined(now) {
            self.next_exchange = jittered(now, self.options.exchange_interval, rng);
            self.exchange_targets(now, rng)
        } else {
            let known_members = self.view.table().len();
            let interval = self.join_pacer.next_interval(known_members);
            self.next_exchange = jittered(now, interval, rng);
            self.join_targets(now, rng)
        };
        for to in targets {
            let digest = Some(self.root_digest());
            self.send_gossip(to, digest.is_some(), Vec::new(), Vec::new(), now);
        }
    }

    /// Exchanges with members that have departed recently and may be back.
    fn contact_departed(&mut self, now: ClockInstant) {
        for node in self.return_watch.take_due(now, self.view.table()) {
            let Some(row) = self.view.table().get(&node) else {
                continue;
            };
            let to = PeerTarget {
                address: row.peer_address,
                node: Some(node),
            };
            self.send_gossip(to, true, Vec::new(), Vec::new(), now);
        }
    }

    fn exchange_targets(&self, now: ClockInstant, rng: &mut impl Rng) -> Vec<PeerTarget> {
        let mut targets = Vec::new();
        if self
            .exchange_count
            .is_multiple_of(UNREACHABLE_EXCHANGE_PERIOD)
        {
            targets.extend(self.peer_selector.select_unreachable(&self.view, rng));
        }
        if self.exchange_count.is_multiple_of(SEED_EXCHANGE_PERIOD) {
            targets.extend(self.select_seed(rng));
        }
        let centre = &self.view.own().data_centre;
        let wants_remote = self
            .exchange_count
            .is_multiple_of(self.options.remote_exchange_period);
        let remote = self.peer_selector.select_remote(&self.view, now, rng);
        let local = self
            .peer_selector
            .select_in(&self.view, centre, 1, now, rng)
            .pop();
        let regular = if wants_remote {
            remote.or(local)
        } else {
            local.or(remote)
        };
        if regular.is_none() {
            targets.extend(self.select_seed(rng));
        }
        targets.extend(regular);
        targets
    }

    fn join_targets(&self, now: ClockInstant, rng: &mut impl Rng) -> Vec<PeerTarget> {
        let centre = &self.view.own().data_centre;
        let mut targets = self
            .peer_selector
            .select_in(&self.view, centre, JOIN_FAN_OUT, now, rng);
        targets.extend(self.peer_selector.select_remote(&self.view, now, rng));
        if self.view.table().len() < MIN_KNOWN_WITHOUT_SEEDS {
            for _ in 0..JOIN_SEED_COUNT {
                targets.extend(self.select_seed(rng));
            }
        }
        targets
    }

    fn select_seed(&self, rng: &mut impl Rng) -> Option<PeerTarget> {
        let own = self.view.own().peer_address;
        let others: Vec<_> = self.seeds.iter().filter(|seed| **seed != own).collect();
        others.choose(rng).map(|address| PeerTarget {
            node: None,
            address: **address,
        })
    }

    fn push(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        let is_push_due = self.has_pushes() && self.next_push.has_passed(now);
        let is_hint_push_due = self.view.has_hint_pushes() && self.next_hint_push.has_passed(now);
        if !is_push_due && !is_hint_push_due {
            return;
        }
        let targets = self.push_targets(now, rng);
        if targets.is_empty() {
            return;
        }
        let mut nodes = Vec::new();
        let mut records = Vec::new();
        if is_push_due {
            self.next_push = now.after(self.options.push_interval);
            self.stamp_push_rounds = self.stamp_push_rounds.saturating_sub(1);
            nodes = self.view.push_queue().take_batch(MAX_PUSHED_ENTRIES);
            records = self.records.take_pushes(MAX_PUSHED_ENTRIES);
        }
        if is_hint_push_due {
            self.next_hint_push = jittered(now, self.options.hint_push_interval, rng);
            nodes.extend(self.view.hint_queue().take_batch(MAX_PUSHED_HINTS));
        }
        let table = self.view.table();
        let members: Vec<_> = nodes
            .iter()
            .filter_map(|node| table.get(node).cloned())
            .collect();
        for to in targets {
            self.send_gossip(to, false, members.clone(), records.clone(), now);
        }
    }

    fn push_targets(&self, now: ClockInstant, rng: &mut impl Rng) -> Vec<PeerTarget> {
        let table = self.view.table();
        let own_centre = &self.view.own().data_centre;
        let fan_out = self.options.local_fan_out;
        let mut targets = self
            .peer_selector
            .select_in(&self.view, own_centre, fan_out, now, rng);
        let local_count = table.live_count_in(own_centre).max(1);
        for centre in other_data_centres(table, own_centre) {
            // All nodes of the data centre together send about `remote_fan_out` pushes per round.
            let is_chosen = rng.random_range(0..local_count) < self.options.remote_fan_out;
            if is_chosen {
                targets.extend(
                    self.peer_selector
                        .select_in(&self.view, &centre, 1, now, rng),
                );
            }
        }
        targets
    }

    pub(crate) fn send_gossip(
        &mut self,
        to: PeerTarget,
        has_digest: bool,
        members: Vec<MemberRow>,
        records: Vec<RecordEntry>,
        now: ClockInstant,
    ) {
        let request = GossipRequest {
            from: self.header(),
            digest: has_digest.then(|| self.root_digest()),
            members,
            records,
        };
        self.actions.push(GossipAction::Gossip {
            to,
            request,
            deadline: now.after(self.options.reply_timeout),
        });
    }

    pub(crate) fn start_fetch(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        let timeout = self.options.fetch_timeout;
        if let Some(fetch) = self.fetches.next_fetch(&self.versions, now, timeout, rng) {
            self.actions.push(GossipAction::Fetch(fetch));
        }
    }

    /// Opens the readiness gate if its conditions are met; once it is open, activates the current
    /// version.
    pub(crate) fn update_readiness(&mut self, now: ClockInstant) {
        let wanted = self.fetches.newest_wanted(&self.versions);
        if self.knows_orders(now)
            && self.readiness.try_open(self.versions.stamp(), wanted, now)
            && self.view.own().state == MemberState::Starting
        {
            self.change_state(MemberState::Serving);
        }
        if !self.readiness.is_open() {
            return;
        }
        let held = self.versions.current().cloned();
        let active_stamp = self.active_version.as_ref().map(|version| version.stamp());
        let Some(version) = held.filter(|version| Some(version.stamp()) != active_stamp) else {
            return;
        };
        self.active_version = Some(version.clone());
        self.active_since = Some(now);
        self.notify(GossipEvent::Activated(version));
    }
}

fn other_data_centres(table: &MemberTable, own_centre: &DataCentre) -> Vec<DataCentre> {
    let mut centres: Vec<_> = table
        .live()
        .map(|row| &row.data_centre)
        .filter(|centre| *centre != own_centre)
        .cloned()
        .collect();
    centres.sort();
    centres.dedup();
    centres
}

fn jittered(now: ClockInstant, interval: TimeBudget, rng: &mut impl Rng) -> ClockInstant {
    let micros = interval.as_micros();
    let wait = rng.random_range(micros * 4 / 5..=micros * 6 / 5);
    now.after(TimeBudget::from_micros(wait))
}
