//! What a node does as time goes by.

use rand::{Rng, seq::IndexedRandom};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::DataCentre,
    member::{LeaseRow, MemberRow, MemberState, MemberTable, ROW_LEASE},
    spread::{
        GossipAction, GossipEvent, GossipNode, GossipRequest, PeerTarget, RecordEntry, SpreadMode,
        StartGate, select_readers,
    },
};

const MAX_PUSHED_ROWS: usize = 8;
const SURVEY_INTERVAL: TimeBudget = TimeBudget::from_millis(100);
const SURVEY_FAN_OUT: usize = 4;
const SURVEY_SEEDS: usize = 2;
const LOST_EVERY: u32 = 2;
const SEED_EVERY: u32 = 10;

impl GossipNode {
    /// Does what is due at `now`.
    pub fn tick(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        self.keep_lease(now);
        self.expire_members(now);
        self.poll_source(now, rng);
        self.keep_row(now, rng);
        self.exchange(now, rng);
        self.push(now, rng);
        self.start_fetch(now, rng);
        self.update_gate(now);
    }

    fn keep_lease(&mut self, now: ClockInstant) {
        if self.guard.renew(now, self.rule.lease) {
            return;
        }
        self.counters.pauses += 1;
        self.agent.rejoin(now);
        self.probes.clear();
        self.gate = StartGate::new(now.after(self.rule.survey), now.after(self.rule.last_wait));
        self.next_exchange = now;
        self.join_deadline = now.after(self.rule.join);
        self.hasten_push(now);
        self.report(GossipEvent::Resumed);
        self.report(GossipEvent::Members);
    }

    fn expire_members(&mut self, now: ClockInstant) {
        if !self.agent.expire(now).is_empty() {
            self.hasten_push(now);
            self.report(GossipEvent::Members);
        }
    }

    fn poll_source(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        if !self.poll.is_due(now) {
            return;
        }
        self.poll.postpone(now, self.rule.poll_interval, rng);
        if self.is_reader() {
            self.poll.started(now);
            self.actions.push(GossipAction::ReadVersionRow);
        }
    }

    /// Keeps this node's row in the platform, and looks there for peers while it knows nobody.
    fn keep_row(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        if self.row_leases.takes_write(now, rng) {
            let row = LeaseRow::of(self.agent.own(), now, ROW_LEASE);
            self.actions.push(GossipAction::WriteLease(row));
        }
        let is_alone = self.agent.table().live().count() <= 1;
        if is_alone && self.row_leases.takes_search(now, rng) {
            self.actions.push(GossipAction::FindSeeds);
        }
    }

    /// Returns whether this node reads the platform's version row.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        if self.rule.mode == SpreadMode::Poll || !self.gate.is_open() {
            return true;
        }
        self.reader_rank().is_some()
    }

    /// Returns this node's place among the readers of its data centre, the first being 0.
    #[must_use]
    pub fn reader_rank(&self) -> Option<usize> {
        let own = self.agent.own();
        let readers = select_readers(self.agent.table(), &own.data_centre);
        readers.iter().position(|reader| *reader == own.node)
    }

    fn exchange(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        if !self.next_exchange.has_passed(now) {
            return;
        }
        self.exchange_count = self.exchange_count.wrapping_add(1);
        let has_joined = self.gate.is_open() && self.join_deadline.has_passed(now);
        let targets = if has_joined {
            self.next_exchange = jittered(now, self.rule.exchange_interval, rng);
            self.exchange_targets(now, rng)
        } else {
            self.next_exchange = jittered(now, SURVEY_INTERVAL, rng);
            self.survey_targets(now, rng)
        };
        for to in targets {
            let digest = Some(self.root_digest());
            self.send(to, digest.is_some(), Vec::new(), Vec::new(), now);
        }
    }

    fn exchange_targets(&self, now: ClockInstant, rng: &mut impl Rng) -> Vec<PeerTarget> {
        let mut targets = Vec::new();
        if self.exchange_count.is_multiple_of(LOST_EVERY) {
            targets.extend(self.picker.pick_lost(&self.agent, rng));
        }
        if self.exchange_count.is_multiple_of(SEED_EVERY) {
            targets.extend(self.pick_seed(rng));
        }
        let centre = &self.agent.own().data_centre;
        let wants_remote = self.exchange_count.is_multiple_of(self.rule.remote_every);
        let remote = self.picker.pick_remote(&self.agent, now, rng);
        let local = self.picker.pick_in(&self.agent, centre, 1, now, rng).pop();
        let regular = if wants_remote {
            remote.or(local)
        } else {
            local.or(remote)
        };
        if regular.is_none() {
            targets.extend(self.pick_seed(rng));
        }
        targets.extend(regular);
        targets
    }

    fn survey_targets(&self, now: ClockInstant, rng: &mut impl Rng) -> Vec<PeerTarget> {
        let centre = &self.agent.own().data_centre;
        let mut targets = self
            .picker
            .pick_in(&self.agent, centre, SURVEY_FAN_OUT, now, rng);
        targets.extend(self.picker.pick_remote(&self.agent, now, rng));
        for _ in 0..SURVEY_SEEDS {
            targets.extend(self.pick_seed(rng));
        }
        targets
    }

    fn pick_seed(&self, rng: &mut impl Rng) -> Option<PeerTarget> {
        let own = self.agent.own().peer_address;
        let others: Vec<_> = self.seeds.iter().filter(|seed| **seed != own).collect();
        others.choose(rng).map(|address| PeerTarget {
            node: None,
            address: **address,
        })
    }

    fn push(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        let has_stamp = self.stamp_rounds > 0;
        let is_settled = self.agent.rumours().is_empty() && self.records.is_settled();
        if !self.next_push.has_passed(now) || (is_settled && !has_stamp) {
            return;
        }
        let targets = self.push_targets(now, rng);
        if targets.is_empty() {
            return;
        }
        self.next_push = now.after(self.rule.push_interval);
        self.stamp_rounds = self.stamp_rounds.saturating_sub(1);
        let nodes = self.agent.rumours().take(MAX_PUSHED_ROWS);
        let table = self.agent.table();
        let members: Vec<_> = nodes
            .iter()
            .filter_map(|node| table.get(node).cloned())
            .collect();
        let records = self.records.take_rumours(MAX_PUSHED_ROWS);
        for to in targets {
            self.send(to, false, members.clone(), records.clone(), now);
        }
    }

    fn push_targets(&self, now: ClockInstant, rng: &mut impl Rng) -> Vec<PeerTarget> {
        let table = self.agent.table();
        let own = &self.agent.own().data_centre;
        let fan_out = self.rule.local_fan_out;
        let mut targets = self.picker.pick_in(&self.agent, own, fan_out, now, rng);
        let neighbours = table.live_in(own).max(1);
        for centre in other_centres(table, own) {
            // All nodes of the data centre together send about `remote_links` pushes a round.
            let is_chosen = rng.random_range(0..neighbours) < self.rule.remote_links;
            if is_chosen {
                targets.extend(self.picker.pick_in(&self.agent, &centre, 1, now, rng));
            }
        }
        targets
    }

    pub(crate) fn send(
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
            deadline: now.after(self.rule.answer_timeout),
        });
    }

    pub(crate) fn start_fetch(&mut self, now: ClockInstant, rng: &mut impl Rng) {
        let allowed = self.rule.fetch_timeout;
        if let Some(fetch) = self.fetches.next(&self.holder, now, allowed, rng) {
            self.actions.push(GossipAction::Fetch(fetch));
        }
    }

    /// Opens the gate when the rules allow, and puts the held version in force behind it.
    pub(crate) fn update_gate(&mut self, now: ClockInstant) {
        let wanted = self.fetches.newest(&self.holder);
        if self.gate.update(self.holder.stamp(), wanted, now)
            && self.agent.own().state == MemberState::Starting
        {
            self.change_state(MemberState::Serving, now);
        }
        if !self.gate.is_open() {
            return;
        }
        let held = self.holder.held().cloned();
        let in_force = self.in_force.as_ref().map(|version| version.stamp());
        let Some(version) = held.filter(|version| Some(version.stamp()) != in_force) else {
            return;
        };
        self.in_force = Some(version.clone());
        self.in_force_at = Some(now);
        self.report(GossipEvent::Activated(version));
    }
}

fn other_centres(table: &MemberTable, own: &DataCentre) -> Vec<DataCentre> {
    let mut centres: Vec<_> = table
        .live()
        .map(|row| &row.data_centre)
        .filter(|centre| *centre != own)
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
