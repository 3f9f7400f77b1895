//! Handlers for the replies to a node's own actions.

use rand::{Rng, seq::IteratorRandom};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ConfigVersion,
    error::MeshError,
    ids::NodeName,
    member::{MemberRow, MemberState},
    spread::{
        FetchScheduler, FetchSource, GossipAction, GossipEvent, GossipNode, GossipReply,
        InstallOutcome, PeerTarget, ProbeReply, ProbeRequest, ReconcileReply, ReconcileRequest,
        RecordEntry, SnapshotReply, SpreadMode, VersionFetch, VersionRow,
    },
};

/// Largest number of buckets of each table that a reconciliation requests.
const MAX_BUCKETS: u8 = 4;
/// The same for a node that is not ready yet, or waits for records before it uses its servers.
const MAX_BUCKETS_AT_START: u8 = 64;
/// Largest number of member rows, and of records, sent back after a reconciliation.
const MAX_RETURNED_ENTRIES: usize = 256;
const STORE_DELAY_MIN_MS: u64 = 500;
const STORE_DELAY_MAX_MS: u64 = 1_000;
const ALTERED_SOURCE_BACKOFF: TimeBudget = TimeBudget::from_secs(30);

impl GossipNode {
    /// Handles the reply to a push or an exchange.
    pub fn handle_gossip_reply(
        &mut self,
        to: &PeerTarget,
        result: Result<GossipReply, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        match result {
            Ok(reply) => self.merge_gossip_reply(to, reply, now),
            Err(_) => self.handle_no_reply(to, now, rng),
        }
        self.start_fetch(now, rng);
    }

    /// Merges the entries that differ and sends newer ones back to the peer.
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
        self.record_contact(&reply.from, true, now);
        self.merge_members(reply.members.clone(), now);
        self.merge_records(reply.records.clone());
        // A reply with fewer buckets than the limit of its request holds all that differ. Requests of
        // an earlier limit may still be under way.
        let limit = self.bucket_limit().min(self.requested_buckets);
        let bucket_count = reply.record_buckets.len();
        if (1..usize::from(limit)).contains(&bucket_count) {
            self.adopt_records(&reply.from, now);
        }
        let members = self.rows_to_return(&reply);
        let records = self.records_to_return(&reply);
        if !members.is_empty() || !records.is_empty() {
            self.send_gossip(to.clone(), false, members, records, now);
        }
        self.start_fetch(now, rng);
    }

    /// Handles the result of an indirect probe. The member is suspected once every helper has
    /// failed to reach it.
    pub fn handle_probe_reply(
        &mut self,
        target: &NodeName,
        result: Result<ProbeReply, MeshError>,
        now: ClockInstant,
    ) {
        if let Ok(reply) = &result {
            self.record_contact(&reply.from, false, now);
        }
        if result.is_ok_and(|reply| reply.is_alive) {
            self.pending_probes.remove(target);
            return;
        }
        let Some(outstanding) = self.pending_probes.get_mut(target) else {
            return;
        };
        *outstanding = outstanding.saturating_sub(1);
        if *outstanding == 0 {
            self.pending_probes.remove(target);
            self.suspect(target, now);
        }
    }

    /// Handles the result of a read of the platform's version row.
    pub fn handle_version_row(
        &mut self,
        result: Result<Option<VersionRow>, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        self.platform_poll.finish_read(result.is_ok(), now);
        let Ok(row) = result else {
            return;
        };
        self.platform_seen_at = Some(now);
        // Callers apply the orders of a read before they report it.
        self.orders_seen_at = Some(now);
        self.readiness.record_platform_answer();
        if let Some(row) = row.filter(|row| self.versions.is_wanted(row.stamp())) {
            let source = FetchSource::Store(row.object.clone());
            let ready_at = self.store_ready_at(now, rng);
            self.fetches.add_source(row.stamp(), source, ready_at);
        }
        self.start_fetch(now, rng);
        self.update_readiness(now);
    }

    /// Installs a version that this node has read from the platform itself, and pushes its stamp.
    pub fn install_version(&mut self, version: ConfigVersion, now: ClockInstant) {
        let stamp = version.stamp();
        match self.versions.offer_version(version) {
            InstallOutcome::Installed(_) => self.push_stamp(),
            InstallOutcome::Refused(error) | InstallOutcome::Altered(error) => {
                self.counters.refused += 1;
                self.notify(GossipEvent::Refused { stamp, error });
            }
            InstallOutcome::Stale => {}
        }
        self.update_readiness(now);
    }

    /// Handles the result of a fetch of a version's content.
    pub fn handle_fetch_reply(
        &mut self,
        fetch: &VersionFetch,
        result: Result<SnapshotReply, MeshError>,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) {
        match result {
            Ok(SnapshotReply::Whole(body)) => {
                let outcome = self.versions.offer_snapshot(fetch.stamp, body);
                self.handle_install_outcome(fetch, outcome, now);
            }
            Ok(SnapshotReply::Compressed(compressed)) => {
                let outcome = match compressed.decompress() {
                    Ok(body) => self.versions.offer_snapshot(fetch.stamp, body),
                    Err(error) => InstallOutcome::Altered(error),
                };
                self.handle_install_outcome(fetch, outcome, now);
            }
            Ok(SnapshotReply::Delta(compressed)) => {
                let outcome = match compressed.decompress() {
                    Ok(bytes) => self.versions.offer_delta(fetch.stamp, &bytes),
                    Err(error) => InstallOutcome::Altered(error),
                };
                self.handle_install_outcome(fetch, outcome, now);
            }
            Ok(SnapshotReply::Busy(wait)) => self.fetches.record_failure(fetch, now.after(wait)),
            Ok(SnapshotReply::Missing) | Err(_) => {
                let retry_at = FetchScheduler::retry_at(now, rng);
                self.fetches.record_failure(fetch, retry_at);
            }
        }
        self.start_fetch(now, rng);
        self.update_readiness(now);
    }

    /// Returns when the object store may be used. A starting node waits for its peers to offer the
    /// content first, which keeps many restarting nodes from reading it from the platform at once.
    fn store_ready_at(&self, now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        if self.readiness.is_open() || self.seeds.is_empty() {
            return now;
        }
        let wait = rng.random_range(STORE_DELAY_MIN_MS..=STORE_DELAY_MAX_MS);
        now.after(TimeBudget::from_millis(wait))
    }

    fn merge_gossip_reply(&mut self, to: &PeerTarget, reply: GossipReply, now: ClockInstant) {
        let is_exchange = reply.digest.is_some();
        self.record_contact(&reply.from, is_exchange, now);
        self.merge_members(reply.members, now);
        let Some(theirs) = reply.digest else {
            return;
        };
        let ours = self.root_digest();
        if ours.records == theirs.records {
            self.adopt_records(&reply.from, now);
        }
        if ours == theirs {
            return;
        }
        let members_differ = ours.members != theirs.members;
        let records_differ = ours.records != theirs.records;
        let members = self.view.table().digest().to_vec();
        let records = self.records.digest().to_vec();
        self.requested_buckets = self.bucket_limit();
        let request = ReconcileRequest {
            from: self.header(),
            members: if members_differ { members } else { Vec::new() },
            records: if records_differ { records } else { Vec::new() },
            max_buckets: self.requested_buckets,
        };
        self.actions.push(GossipAction::Reconcile {
            to: to.clone(),
            request,
            deadline: now.after(self.options.reply_timeout),
        });
    }

    const fn bucket_limit(&self) -> u8 {
        match self.readiness.is_open() && self.has_serving_records {
            true => MAX_BUCKETS,
            false => MAX_BUCKETS_AT_START,
        }
    }

    fn handle_no_reply(&mut self, to: &PeerTarget, now: ClockInstant, rng: &mut impl Rng) {
        self.counters.unanswered_messages += 1;
        let Some(node) = &to.node else {
            return;
        };
        self.peer_selector
            .back_off(node.clone(), now.after(self.options.peer_backoff));
        let is_live = self
            .view
            .table()
            .get(node)
            .is_some_and(|row| row.state < MemberState::Suspect);
        if is_live && !self.pending_probes.contains_key(node) {
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
        let own = &self.view.own().node;
        let helpers = self
            .view
            .table()
            .live()
            .filter(|row| row.node != *node && row.node != *own)
            .map(PeerTarget::from)
            .choose_multiple(rng, self.options.indirect_probe_count);
        if helpers.is_empty() {
            self.suspect(node, now);
            return;
        }
        self.pending_probes.insert(node.clone(), helpers.len());
        for helper in helpers {
            let request = ProbeRequest {
                from: self.header(),
                target: node.clone(),
                address: to.address,
            };
            // Covers the helper's own probe timeout and the way back.
            let timeout = TimeBudget::from_micros(2 * self.options.reply_timeout.as_micros());
            self.actions.push(GossipAction::IndirectProbe {
                to: helper,
                request,
                deadline: now.after(timeout),
            });
        }
    }

    fn suspect(&mut self, node: &NodeName, now: ClockInstant) {
        let is_live = self
            .view
            .table()
            .get(node)
            .is_some_and(|row| row.state < MemberState::Suspect);
        if is_live && self.view.suspect(node, now) {
            self.notify(GossipEvent::MembersChanged);
        }
    }

    fn handle_install_outcome(
        &mut self,
        fetch: &VersionFetch,
        outcome: InstallOutcome,
        now: ClockInstant,
    ) {
        match outcome {
            InstallOutcome::Installed(_) => {
                self.fetches.record_completion();
                self.push_stamp();
            }
            InstallOutcome::Stale => self.fetches.record_completion(),
            InstallOutcome::Altered(error) => {
                self.counters.altered += 1;
                self.fetches
                    .record_altered(fetch, now.after(ALTERED_SOURCE_BACKOFF));
                let fetch = fetch.clone();
                self.notify(GossipEvent::Altered { fetch, error });
            }
            InstallOutcome::Refused(error) => {
                self.counters.refused += 1;
                self.fetches.record_completion();
                let stamp = fetch.stamp;
                self.notify(GossipEvent::Refused { stamp, error });
            }
        }
    }

    fn push_stamp(&mut self) {
        if matches!(self.options.mode, SpreadMode::Mixed | SpreadMode::Push) {
            self.stamp_push_rounds = self.options.push_rounds;
        }
    }

    /// Returns the rows of the differing buckets that are newer than the peer's, and gone members
    /// that the peer still lists.
    fn rows_to_return(&self, reply: &ReconcileReply) -> Vec<MemberRow> {
        let table = self.view.table();
        let is_newer = |row: &MemberRow| {
            let mut received = reply
                .members
                .iter()
                .filter(|received| received.node == row.node);
            received.all(|received| row.replaces(received))
        };
        let mut rows = table.rows_in(&reply.member_buckets);
        rows.extend(table.gone_among(&reply.members));
        rows.retain(is_newer);
        rows.truncate(MAX_RETURNED_ENTRIES);
        rows
    }

    fn records_to_return(&self, reply: &ReconcileReply) -> Vec<RecordEntry> {
        let mut records = self.records.entries_in(&reply.record_buckets);
        records.retain(|entry| !reply.records.contains(entry));
        records.truncate(MAX_RETURNED_ENTRIES);
        records
    }
}
