use crate::{
    clock::ClockInstant,
    error::MeshError,
    plugin::RecordKind,
    spread::{BucketIndex, PushQueue, RecordEntry, RecordKey, RecordTable, TableDigest},
};

/// Record table of a node with its digest and push queue.
#[derive(Clone, Debug, Default)]
pub struct RecordReplica {
    table: RecordTable,
    digest: TableDigest,
    push_queue: PushQueue<RecordKey>,
}

impl RecordReplica {
    /// Merges a record, queues it for `rounds` rounds of pushes if it changed, and returns whether
    /// it changed. An expired record changes nothing.
    ///
    /// # Errors
    ///
    /// Those of [`RecordTable::merge`].
    pub fn merge(
        &mut self,
        entry: &RecordEntry,
        rounds: u8,
        now: ClockInstant,
    ) -> Result<bool, MeshError> {
        let key = &entry.key;
        if RecordKind::find(&key.kind)?.is_expired(&entry.value, now) {
            return Ok(false);
        }
        let replaced = self.table.get(key).cloned();
        if !self.table.merge(key.clone(), &entry.value)? {
            return Ok(false);
        }
        let key_text = key.to_string();
        if let Some(replaced) = replaced {
            self.digest.toggle(key_text.as_bytes(), &replaced);
        }
        if let Some(value) = self.table.get(key) {
            self.digest.toggle(key_text.as_bytes(), value);
        }
        self.push_queue.enqueue(key.clone(), rounds);
        Ok(true)
    }

    /// Queues a record for `rounds` more rounds of pushes, although it has not changed.
    pub fn push_again(&mut self, key: &RecordKey, rounds: u8) {
        if self.table.get(key).is_some() {
            self.push_queue.enqueue(key.clone(), rounds);
        }
    }

    /// Drops the records that have expired.
    pub fn expire(&mut self, now: ClockInstant) {
        for (key, value) in self.table.expire(now) {
            self.digest.toggle(key.to_string().as_bytes(), &value);
        }
    }

    /// Returns the records.
    #[must_use]
    pub const fn table(&self) -> &RecordTable {
        &self.table
    }

    /// Returns the digest of all records.
    #[must_use]
    pub const fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Returns whether no record is queued for a push.
    #[must_use]
    pub fn is_push_queue_empty(&self) -> bool {
        self.push_queue.is_empty()
    }

    /// Takes at most `limit` queued records for one round of pushes.
    pub fn take_pushes(&mut self, limit: usize) -> Vec<RecordEntry> {
        let keys = self.push_queue.take_batch(limit);
        keys.into_iter()
            .filter_map(|key| {
                let value = self.table.get(&key)?.clone();
                Some(RecordEntry { key, value })
            })
            .collect()
    }

    /// Returns the records in `buckets`.
    #[must_use]
    pub fn entries_in(&self, buckets: &[BucketIndex]) -> Vec<RecordEntry> {
        self.table
            .iter()
            .filter(|(key, _)| buckets.contains(&BucketIndex::of(key.to_string().as_bytes())))
            .map(|(key, value)| RecordEntry {
                key: key.clone(),
                value: value.clone(),
            })
            .collect()
    }
}
