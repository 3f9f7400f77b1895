//! Handlers for the requests of peers.

use rand::Rng;

use crate::{
    clock::ClockInstant,
    ids::ByteCount,
    member::{MemberRow, MemberState, MergeOutcome},
    spread::{
        BucketIndex, FetchSource, GossipEvent, GossipNode, GossipReply, GossipRequest, PeerHeader,
        ReconcileReply, ReconcileRequest, RecordEntry, SnapshotReply, SnapshotRequest, SpreadMode,
    },
};

/// Largest transfer that needs no slot; it takes less than 10 ms on a link of 10 Mbit/s.
const SMALL_TRANSFER_BYTES: usize = 8 * 1024;

impl GossipNode {
    /// Handles a push or an exchange.
    pub fn handle_gossip(&mut self, request: GossipRequest, now: ClockInstant) -> GossipReply {
        let is_exchange = request.digest.is_some();
        self.record_contact(&request.from, is_exchange, now);
        let nodes: Vec<_> = request.members.iter().map(|row| row.node.clone()).collect();
        let received = request.members.clone();
        self.merge_members(request.members, now);
        self.merge_records(request.records, now);
        let table = self.view.table();
        let mut members: Vec<_> = nodes
            .iter()
            .zip(&received)
            .filter_map(|(node, row)| table.get(node).filter(|held| held.replaces(row)))
            .cloned()
            .collect();
        members.extend(self.suspicion_of_sender(&request.from));
        GossipReply {
            from: self.header(),
            digest: request.digest.map(|_| self.root_digest()),
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
        let differing = self.view.table().digest().differing(&request.members);
        let member_buckets = sample_buckets(differing, limit, rng);
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
        self.peer_selector.mark_responsive(&from.node);
        self.pending_probes.remove(&from.node);
        // The peer's clock may be ahead of this node's.
        let seen = from.platform_seen_at.map(|seen| seen.min(now));
        self.platform_seen_at = self.platform_seen_at.max(seen);
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
            let outcome = self.view.merge(row, now);
            has_changed |= outcome != MergeOutcome::Unchanged;
        }
        if has_changed {
            self.schedule_push(now);
            self.notify(GossipEvent::MembersChanged);
        }
    }

    pub(crate) fn merge_records(&mut self, entries: Vec<RecordEntry>, now: ClockInstant) {
        for entry in entries {
            if let Err(error) = self.merge_record(entry, now) {
                self.counters.invalid_records += 1;
                self.notify(GossipEvent::InvalidRecord(error));
            }
        }
    }

    /// Returns the sender's own row if this node considers the sender suspected or gone.
    fn suspicion_of_sender(&self, from: &PeerHeader) -> Option<MemberRow> {
        let row = self.view.table().get(&from.node)?;
        (row.state >= MemberState::Suspect).then(|| row.clone())
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
