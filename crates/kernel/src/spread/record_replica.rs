use crate::{
    error::MeshError,
    spread::{BucketIndex, PushQueue, RecordEntry, RecordKey, RecordTable, TableDigest},
};

/// A node's records with what is needed to spread them: their digest and the queue of pushes.
#[derive(Clone, Debug, Default)]
pub struct RecordReplica {
    table: RecordTable,
    digest: TableDigest,
    push_queue: PushQueue<RecordKey>,
}

impl RecordReplica {
    /// Merges a record and queues it for `rounds` pushes when it changed; returns whether it did.
    ///
    /// # Errors
    ///
    /// Those of [`RecordTable::merge`].
    pub fn merge(&mut self, entry: &RecordEntry, rounds: u8) -> Result<bool, MeshError> {
        let key = &entry.key;
        let replaced = self.table.get(key).cloned();
        if !self.table.merge(key.clone(), &entry.value)? {
            return Ok(false);
        }
        let id = key.to_string();
        if let Some(replaced) = replaced {
            self.digest.toggle(id.as_bytes(), &replaced);
        }
        if let Some(value) = self.table.get(key) {
            self.digest.toggle(id.as_bytes(), value);
        }
        self.push_queue.enqueue(key.clone(), rounds);
        Ok(true)
    }

    /// Returns the records.
    #[must_use]
    pub const fn table(&self) -> &RecordTable {
        &self.table
    }

    /// Returns the sum of all records.
    #[must_use]
    pub const fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Returns whether nothing is to be pushed.
    #[must_use]
    pub fn is_push_queue_empty(&self) -> bool {
        self.push_queue.is_empty()
    }

    /// Takes at most `limit` changed records for one round of pushes.
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
