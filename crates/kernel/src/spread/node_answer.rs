//! How a node takes in the answers to its own actions.

use rand::{Rng, seq::IteratorRandom};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ConfigVersion,
    error::MeshError,
    ids::NodeName,
    member::{MemberRow, MemberState},
    spread::{
        FetchPlan, FetchSource, GossipAction, GossipEvent, GossipNode, GossipReply, OfferOutcome,
        PeerTarget, ProbeReply, ProbeRequest, ReconcileReply, ReconcileRequest, RecordEntry,
        SnapshotReply, SpreadMode, VersionFetch, VersionRow,
    },
};

const MAX_BUCKETS: u8 = 4;
const MAX_BUCKETS_AT_START: u8 = 64;
const MAX_RETURNED_ROWS: usize = 256;
const STORE_WAIT_MIN_MS: u64 = 500;
const STORE_WAIT_MAX_MS: u64 = 1_000;
const ALTERED_RETRY: TimeBudget = TimeBudget::from_secs(30);

impl GossipNode {
    /// Takes in the answer to a push or an exchange.
    pub fn handle_gossip_reply(
        &mut self,
        to: &PeerTarget,
        result: Result<GossipReply, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        match result {
            Ok(reply) => self.take_reply(to, reply, now),
            Err(_) => self.note_silence(to, now, rng),
        }
        self.start_fetch(now, rng);
    }

    /// Takes in differing entries and returns to the peer what it lacks.
    pub fn handle_reconcile_reply(
        &mut self,
        to: &PeerTarget,
        result: Result<ReconcileReply, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        let Ok(reply) = result else {
            return;
        };
        self.note_contact(&reply.from, true, now);
        self.merge_members(reply.members.clone(), now);
        self.merge_records(reply.records.clone(), now);
        let members = self.rows_to_return(&reply);
        let records = self.records_to_return(&reply);
        if !members.is_empty() || !records.is_empty() {
            self.send(to.clone(), false, members, records, now);
        }
        self.start_fetch(now, rng);
    }

    /// Takes in a helper's answer about a member that did not answer this node.
    pub fn handle_probe_reply(
        &mut self,
        target: &NodeName,
        result: Result<ProbeReply, MeshError>,
        now: ClockInstant,
    ) {
        if let Ok(reply) = &result {
            self.note_contact(&reply.from, false, now);
        }
        if result.is_ok_and(|reply| reply.is_alive) {
            self.probes.remove(target);
            return;
        }
        let Some(waiting) = self.probes.get_mut(target) else {
            return;
        };
        *waiting = waiting.saturating_sub(1);
        if *waiting == 0 {
            self.probes.remove(target);
            self.suspect(target, now);
        }
    }

    /// Takes in the platform's version row.
    pub fn handle_version_row(
        &mut self,
        result: Result<Option<VersionRow>, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        self.poll.ended(result.is_ok(), now);
        let Ok(row) = result else {
            return;
        };
        self.platform_seen_at = Some(now);
        self.gate.platform_answered();
        if let Some(row) = row.filter(|row| self.holder.wants(row.stamp())) {
            let source = FetchSource::Store(row.object.clone());
            let ready_at = self.store_ready_at(now, rng);
            self.fetches.heard(row.stamp(), source, ready_at);
        }
        self.start_fetch(now, rng);
        self.update_gate(now);
    }

    /// Takes in a version that this node has read from the platform itself, and tells its peers.
    pub fn install_version(&mut self, version: ConfigVersion, now: ClockInstant) {
        let stamp = version.stamp();
        match self.holder.offer_version(version) {
            OfferOutcome::Installed(_) => self.push_stamp(now),
            OfferOutcome::Refused(error) | OfferOutcome::Altered(error) => {
                self.counters.refused += 1;
                self.report(GossipEvent::Refused { stamp, error });
            }
            OfferOutcome::Stale => {}
        }
        self.update_gate(now);
    }

    /// Takes in a version's content.
    pub fn handle_fetch_reply(
        &mut self,
        fetch: &VersionFetch,
        result: Result<SnapshotReply, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        match result {
            Ok(SnapshotReply::Whole(body)) => {
                let outcome = self.holder.offer_whole(fetch.stamp, body);
                self.take_outcome(fetch, outcome, now);
            }
            Ok(SnapshotReply::Compressed(packed)) => {
                let outcome = match packed.unpack() {
                    Ok(body) => self.holder.offer_whole(fetch.stamp, body),
                    Err(error) => OfferOutcome::Altered(error),
                };
                self.take_outcome(fetch, outcome, now);
            }
            Ok(SnapshotReply::Delta(packed)) => {
                let outcome = match packed.unpack() {
                    Ok(bytes) => self.holder.offer_delta(fetch.stamp, &bytes),
                    Err(error) => OfferOutcome::Altered(error),
                };
                self.take_outcome(fetch, outcome, now);
            }
            Ok(SnapshotReply::Busy(wait)) => self.fetches.failed(fetch, now.after(wait)),
            Ok(SnapshotReply::Missing) | Err(_) => {
                let retry_at = FetchPlan::retry_at(now, rng);
                self.fetches.failed(fetch, retry_at);
            }
        }
        self.start_fetch(now, rng);
        self.update_gate(now);
    }

    /// Returns when the object store may be asked: a starting node gives its peers time to offer
    /// the content, so that a herd that returns does not read it from the platform.
    fn store_ready_at(&self, now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        if self.gate.is_open() || self.seeds.is_empty() {
            return now;
        }
        let wait = rng.random_range(STORE_WAIT_MIN_MS..=STORE_WAIT_MAX_MS);
        now.after(TimeBudget::from_millis(wait))
    }

    fn take_reply(&mut self, to: &PeerTarget, reply: GossipReply, now: ClockInstant) {
        let is_exchange = reply.digest.is_some();
        self.note_contact(&reply.from, is_exchange, now);
        self.merge_members(reply.members, now);
        let Some(theirs) = reply.digest else {
            return;
        };
        let ours = self.root_digest();
        if ours == theirs {
            return;
        }
        let members_differ = ours.members != theirs.members;
        let records_differ = ours.records != theirs.records;
        let members = self.agent.table().digest().to_vec();
        let records = self.records.digest().to_vec();
        let is_starting = !self.gate.is_open();
        let request = ReconcileRequest {
            from: self.header(),
            members: if members_differ { members } else { Vec::new() },
            records: if records_differ { records } else { Vec::new() },
            max_buckets: if is_starting {
                MAX_BUCKETS_AT_START
            } else {
                MAX_BUCKETS
            },
        };
        self.actions.push(GossipAction::Reconcile {
            to: to.clone(),
            request,
            deadline: now.after(self.rule.answer_timeout),
        });
    }

    fn note_silence(&mut self, to: &PeerTarget, now: ClockInstant, rng: &mut impl Rng) {
        self.counters.unanswered += 1;
        let Some(node) = &to.node else {
            return;
        };
        self.picker
            .avoid(node.clone(), now.after(self.rule.avoidance));
        let is_live = self
            .agent
            .table()
            .get(node)
            .is_some_and(|row| row.state < MemberState::Suspect);
        if is_live && !self.probes.contains_key(node) {
            self.probe_indirectly(node, to, now, rng);
        }
    }

    fn probe_indirectly(
        &mut self,
        node: &NodeName,
        to: &PeerTarget,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        let own = &self.agent.own().node;
        let helpers = self
            .agent
            .table()
            .live()
            .filter(|row| row.node != *node && row.node != *own)
            .map(PeerTarget::from)
            .choose_multiple(rng, self.rule.probe_helpers);
        if helpers.is_empty() {
            self.suspect(node, now);
            return;
        }
        self.probes.insert(node.clone(), helpers.len());
        for helper in helpers {
            let request = ProbeRequest {
                from: self.header(),
                target: node.clone(),
                address: to.address,
            };
            // The helper needs its own time for the probe, and the way back.
            let allowed = TimeBudget::from_micros(2 * self.rule.answer_timeout.as_micros());
            self.actions.push(GossipAction::IndirectProbe {
                to: helper,
                request,
                deadline: now.after(allowed),
            });
        }
    }

    fn suspect(&mut self, node: &NodeName, now: ClockInstant) {
        let is_live = self
            .agent
            .table()
            .get(node)
            .is_some_and(|row| row.state < MemberState::Suspect);
        if is_live && self.agent.suspect(node, now) {
            self.hasten_push(now);
            self.report(GossipEvent::Members);
        }
    }

    fn take_outcome(&mut self, fetch: &VersionFetch, outcome: OfferOutcome, now: ClockInstant) {
        match outcome {
            OfferOutcome::Installed(_) => {
                self.fetches.finished();
                self.push_stamp(now);
            }
            OfferOutcome::Stale => self.fetches.finished(),
            OfferOutcome::Altered(error) => {
                self.counters.altered += 1;
                self.fetches.altered(fetch, now.after(ALTERED_RETRY));
                let fetch = fetch.clone();
                self.report(GossipEvent::Altered { fetch, error });
            }
            OfferOutcome::Refused(error) => {
                self.counters.refused += 1;
                self.fetches.finished();
                let stamp = fetch.stamp;
                self.report(GossipEvent::Refused { stamp, error });
            }
        }
    }

    fn push_stamp(&mut self, now: ClockInstant) {
        if matches!(self.rule.mode, SpreadMode::Mixed | SpreadMode::Push) {
            self.stamp_rounds = self.rule.push_rounds;
            self.hasten_push(now);
        }
    }

    /// Returns the rows of the differing buckets that are newer than the peer's.
    fn rows_to_return(&self, reply: &ReconcileReply) -> Vec<MemberRow> {
        let table = self.agent.table();
        let is_news = |row: &MemberRow| {
            let mut told = reply.members.iter().filter(|told| told.node == row.node);
            told.all(|told| row.replaces(told))
        };
        let mut rows = table.rows_in(&reply.member_buckets);
        rows.extend(table.gone_among(&reply.members));
        rows.retain(is_news);
        rows.truncate(MAX_RETURNED_ROWS);
        rows
    }

    fn records_to_return(&self, reply: &ReconcileReply) -> Vec<RecordEntry> {
        let mut records = self.records.entries_in(&reply.record_buckets);
        records.retain(|entry| !reply.records.contains(entry));
        records.truncate(MAX_RETURNED_ROWS);
        records
    }
}
