use std::{collections::BTreeMap, ops::Bound};

use bronzelb_store::table::{RowKey, RowRevision, RowWrite, ScanPage, TableRow};
use serde::Serialize;

/// Value and revision of a stored row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoredRow {
    /// Value of the row.
    pub value: String,
    /// Revision of the transaction that wrote the row.
    pub revision: RowRevision,
}

/// The first write of a transaction whose precondition failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WriteConflict {
    /// Key of the row.
    pub key: RowKey,
    /// Current revision of the row, zero if it does not exist.
    pub revision: RowRevision,
}

/// In-memory table with atomic transactions.
#[derive(Clone, Debug, Default)]
pub struct TableStore {
    rows: BTreeMap<RowKey, StoredRow>,
    last_revision: u64,
}

impl TableStore {
    /// Returns the row under `key`.
    #[must_use]
    pub fn get(&self, key: &RowKey) -> Option<&StoredRow> {
        self.rows.get(key)
    }

    /// Returns up to `limit` rows whose keys start with `prefix` and follow `after`.
    #[must_use]
    pub fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> ScanPage {
        let start = match after {
            Some(after) if after.as_str() >= prefix => Bound::Excluded(after.as_str()),
            _ => Bound::Included(prefix),
        };
        let mut matching = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.as_str().starts_with(prefix));
        let rows = matching
            .by_ref()
            .take(limit)
            .map(|(key, row)| TableRow {
                key: key.clone(),
                value: row.value.clone(),
                revision: row.revision,
            })
            .collect();
        ScanPage {
            rows,
            more: matching.next().is_some(),
            refused: Vec::new(),
        }
    }

    /// Applies all writes, or none if a precondition fails.
    ///
    /// # Errors
    ///
    /// The first write whose precondition failed.
    pub fn transact(&mut self, writes: Vec<RowWrite>) -> Result<RowRevision, WriteConflict> {
        for write in &writes {
            let current = self.rows.get(&write.key).map(|row| row.revision);
            if !write.precondition.is_met_by(current) {
                return Err(WriteConflict {
                    key: write.key.clone(),
                    revision: current.unwrap_or(RowRevision::new(0)),
                });
            }
        }
        self.last_revision += 1;
        let revision = RowRevision::new(self.last_revision);
        for write in writes {
            self.apply(write, revision);
        }
        Ok(revision)
    }

    fn apply(&mut self, write: RowWrite, revision: RowRevision) {
        match write.value {
            Some(value) => {
                self.rows.insert(write.key, StoredRow { value, revision });
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
    }
}
