//! Handlers for the requests of peers.

use rand::Rng;

use crate::{
    clock::ClockInstant,
    ids::ByteCount,
    member::{MemberRow, MemberState, MemberTable, MergeOutcome},
    spread::{
        BucketIndex, FetchSource, GossipEvent, GossipNode, GossipReply, GossipRequest, PeerHeader,
        ReconcileReply, ReconcileRequest, RecordEntry, SnapshotReply, SnapshotRequest, SpreadMode,
    },
};

/// Largest transfer that needs no slot; it takes less than 10 ms on a link of 10 Mbit/s.
const SMALL_TRANSFER_BYTES: usize = 8 * 1024;

/// Largest number of member rows in one reply to a reconciliation, unless one bucket holds more.
/// At 250 bytes a row, a link of 20 Mbit/s carries the reply in 6 ms.
const MAX_RECONCILED_ROWS: usize = 64;

impl GossipNode {
    /// Handles a push or an exchange.
    pub fn handle_gossip(&mut self, request: GossipRequest, now: ClockInstant) -> GossipReply {
        let is_exchange = request.digest.is_some();
        self.record_contact(&request.from, is_exchange, now);
        let table = self.view.table();
        let held_rows = request.members.iter().filter_map(|row| {
            let held = table.get(&row.node)?;
            held.replaces(row).then(|| held.clone())
        });
        let mut members: Vec<_> = held_rows.collect();
        // A false claim about this node is answered with the row that refutes it.
        let is_about_self = request
            .members
            .iter()
            .any(|row| row.node == self.own().node);
        self.merge_members(request.members, now);
        self.merge_records(request.records);
        let own_digest = request.digest.as_ref().map(|_| self.root_digest());
        let records = request.digest.as_ref().map(|digest| &digest.records);
        if records.is_some() && records == own_digest.as_ref().map(|digest| &digest.records) {
            self.adopt_records(&request.from, now);
        }
        if is_about_self {
            members.retain(|row| row.node != self.own().node);
            members.push(self.own().clone());
        }
        members.extend(self.suspicion_of_sender(&request.from));
        GossipReply {
            from: self.header(),
            digest: own_digest,
            members,
        }
    }

    /// Handles a request for the entries that differ.
    pub fn handle_reconcile(
        &mut self,
        request: &ReconcileRequest,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> ReconcileReply {
        self.record_contact(&request.from, true, now);
        let limit = usize::from(request.max_buckets);
        let table = self.view.table();
        let differing = table.digest().differing(&request.members);
        let mut member_buckets = sample_buckets(differing, limit, rng);
        truncate_buckets(&mut member_buckets, table);
        let differing = self.records.digest().differing(&request.records);
        let record_buckets = sample_buckets(differing, limit, rng);
        ReconcileReply {
            from: self.header(),
            members: self.view.table().rows_in(&member_buckets),
            records: self.records.entries_in(&record_buckets),
            member_buckets,
            record_buckets,
        }
    }

    /// Handles a request for a version's content.
    pub fn handle_snapshot_request(
        &mut self,
        request: &SnapshotRequest,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> SnapshotReply {
        self.record_contact(&request.from, false, now);
        let reply = self.versions.build_reply(request);
        let (SnapshotReply::Delta(compressed) | SnapshotReply::Compressed(compressed)) = &reply
        else {
            return reply;
        };
        if compressed.len() <= SMALL_TRANSFER_BYTES {
            return reply;
        }
        let size = ByteCount::new(compressed.len() as u64);
        match self.transfer_limiter.try_acquire(size, now, rng) {
            Ok(()) => reply,
            Err(wait) => {
                self.counters.deferred_transfers += 1;
                SnapshotReply::Busy(wait)
            }
        }
    }

    /// Handles a probe, or a request for an indirect probe, and returns the header for the reply.
    pub fn handle_contact(&mut self, from: &PeerHeader, now: ClockInstant) -> PeerHeader {
        self.record_contact(from, false, now);
        self.header()
    }

    /// Records contact with a peer and the version that the peer announces.
    pub(crate) fn record_contact(
        &mut self,
        from: &PeerHeader,
        is_exchange: bool,
        now: ClockInstant,
    ) {
        self.view.record_contact(&from.data_centre, now);
        self.contact_at = Some(now);
        self.peer_selector.mark_responsive(&from.node);
        self.pending_probes.remove(&from.node);
        // The peer's clock may be ahead of this node's.
        let seen = from.platform_seen_at.map(|seen| seen.min(now));
        self.platform_seen_at = self.platform_seen_at.max(seen);
        let has_read = from.platform_seen_at > Some(self.started_at);
        if has_read && from.stamp.is_some() {
            self.readiness.record_platform_answer();
        }
        let is_ignored = match self.options.mode {
            SpreadMode::Mixed | SpreadMode::Pull => false,
            SpreadMode::Push => is_exchange && self.readiness.is_open(),
            SpreadMode::Poll => true,
        };
        let Some(stamp) = from.stamp.filter(|_| !is_ignored) else {
            return;
        };
        if self.versions.is_wanted(stamp) {
            let source = FetchSource::Peer(from.node.clone());
            self.fetches.add_source(stamp, source, now);
        }
    }

    pub(crate) fn merge_members(&mut self, rows: Vec<MemberRow>, now: ClockInstant) {
        let mut has_changed = false;
        for row in rows {
            // While a node joins, nearly every row is news to it and to nobody else.
            let is_known_to_others = !self.has_joined(now) && row.state < MemberState::Draining;
            let departed = (row.state == MemberState::Gone).then(|| row.node.clone());
            let outcome = if is_known_to_others {
                self.view.merge_quietly(row, now)
            } else {
                self.view.merge(row, now)
            };
            if let Some(departed) = departed.filter(|_| outcome == MergeOutcome::Changed) {
                let table = self.view.table();
                self.return_watch
                    .record_departure(now, &departed, &self.view.own().node, table);
            }
            has_changed |= matches!(outcome, MergeOutcome::Changed | MergeOutcome::Refuted);
        }
        if has_changed {
            self.notify(GossipEvent::MembersChanged);
        }
    }

    pub(crate) fn merge_records(&mut self, entries: Vec<RecordEntry>) {
        for entry in entries {
            if let Err(error) = self.merge_record(entry) {
                self.counters.invalid_records += 1;
                self.notify(GossipEvent::InvalidRecord(error));
            }
        }
    }

    /// Records that this node's records hold all that the sender knows.
    pub(crate) fn adopt_records(&mut self, from: &PeerHeader, now: ClockInstant) {
        let sender = self.view.table().get(&from.node);
        self.has_peer_records = true;
        self.has_serving_records |= sender.is_some_and(|row| row.state == MemberState::Serving);
        // The peer's clock may be ahead of this node's.
        let seen = from.orders_seen_at.map(|seen| seen.min(now));
        self.orders_seen_at = self.orders_seen_at.max(seen);
    }

    /// Returns the sender's own row if this node considers the sender suspected or gone.
    fn suspicion_of_sender(&self, from: &PeerHeader) -> Option<MemberRow> {
        let row = self.view.table().get(&from.node)?;
        (row.state >= MemberState::Suspect).then(|| row.clone())
    }
}

/// Drops buckets until those that are left hold at most [`MAX_RECONCILED_ROWS`] rows, or one is left.
///
/// The peer finds the rows of the other buckets with its next exchanges, and from other nodes.
fn truncate_buckets(buckets: &mut Vec<BucketIndex>, table: &MemberTable) {
    let mut rows = 0;
    let kept = buckets.iter().position(|bucket| {
        rows += table.row_count_in(*bucket);
        rows > MAX_RECONCILED_ROWS
    });
    if let Some(kept) = kept {
        buckets.truncate(kept.max(1));
    }
}

fn sample_buckets(
    mut buckets: Vec<BucketIndex>,
    limit: usize,
    rng: &mut impl Rng,
) -> Vec<BucketIndex> {
    if buckets.len() > limit {
        let start = rng.random_range(0..buckets.len());
        buckets.rotate_left(start);
        buckets.truncate(limit);
    }
    buckets
}
