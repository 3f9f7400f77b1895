use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{DataCentre, NodeName},
    member::{MemberRow, MemberState},
    spread::{BucketIndex, TableDigest},
};

/// Members of a mesh, as one node knows them.
///
/// Rows are shared between copies of the table, and each has the generation of its latest change,
/// so that neither a copy nor an update of derived state costs as much as the whole table.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<NodeName, TableEntry>,
    digest: TableDigest,
    generation: u64,
    /// Generation of the latest removal of a row.
    removed_at: u64,
}

#[derive(Clone, Debug)]
struct TableEntry {
    row: Arc<MemberRow>,
    bucket: BucketIndex,
    /// Generation of the row's latest change.
    changed_at: u64,
}

impl MemberTable {
    /// Merges a row and returns whether it replaced the known one.
    pub fn merge(&mut self, row: MemberRow) -> bool {
        let held = self.rows.get(&row.node).map(|entry| entry.row.as_ref());
        if held.is_some_and(|held| !row.replaces(held)) {
            return false;
        }
        toggle(&mut self.digest, held);
        toggle(&mut self.digest, Some(&row));
        self.generation += 1;
        let node = row.node.clone();
        let entry = TableEntry {
            bucket: BucketIndex::of(node.as_str().as_bytes()),
            row: Arc::new(row),
            changed_at: self.generation,
        };
        self.rows.insert(node, entry);
        true
    }

    /// Removes the row of `node`.
    pub fn remove(&mut self, node: &NodeName) {
        let removed = self.rows.remove(node);
        toggle(
            &mut self.digest,
            removed.as_ref().map(|entry| entry.row.as_ref()),
        );
        self.generation += 1;
        self.removed_at = self.generation;
    }

    /// Returns a number that increases with every change of the table.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the row of `node`.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&MemberRow> {
        self.rows.get(node).map(|entry| entry.row.as_ref())
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns every row in name order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRow> {
        self.rows.values().map(|entry| entry.row.as_ref())
    }

    /// Returns the rows that changed after `generation`, or `None` if a row was removed since.
    #[must_use]
    pub fn changed_since(&self, generation: u64) -> Option<impl Iterator<Item = &MemberRow>> {
        let entries = self.rows.values();
        let changed = entries.filter(move |entry| entry.changed_at > generation);
        (self.removed_at <= generation).then(|| changed.map(|entry| entry.row.as_ref()))
    }

    /// Returns the rows of live members: those neither suspected nor gone.
    pub fn live(&self) -> impl Iterator<Item = &MemberRow> {
        self.iter().filter(|row| row.state < MemberState::Suspect)
    }

    /// Returns the number of live members in `centre`.
    #[must_use]
    pub fn live_count_in(&self, centre: &DataCentre) -> usize {
        self.live().filter(|row| row.data_centre == *centre).count()
    }

    /// Returns the digest of the rows that are not gone.
    #[must_use]
    pub const fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Returns the rows in `buckets` that are not gone.
    #[must_use]
    pub fn rows_in(&self, buckets: &[BucketIndex]) -> Vec<MemberRow> {
        self.entries_in(buckets)
            .map(|entry| entry.row.as_ref().clone())
            .collect()
    }

    /// Returns the number of rows in `bucket` that are not gone.
    #[must_use]
    pub fn row_count_in(&self, bucket: BucketIndex) -> usize {
        self.entries_in(&[bucket]).count()
    }

    /// Returns the gone rows of members that are listed in `received`.
    #[must_use]
    pub fn gone_among(&self, received: &[MemberRow]) -> Vec<MemberRow> {
        received
            .iter()
            .filter_map(|row| self.get(&row.node))
            .filter(|held| held.state == MemberState::Gone)
            .cloned()
            .collect()
    }

    fn entries_in(&self, buckets: &[BucketIndex]) -> impl Iterator<Item = &TableEntry> {
        let entries = self.rows.values();
        entries
            .filter(|entry| entry.row.state != MemberState::Gone)
            .filter(|entry| buckets.contains(&entry.bucket))
    }
}

fn toggle(digest: &mut TableDigest, row: Option<&MemberRow>) {
    let Some(row) = row.filter(|row| row.state != MemberState::Gone) else {
        return;
    };
    let mut row_version = [0; 2 * size_of::<u64>() + 1];
    row_version[..8].copy_from_slice(&row.incarnation.get().to_le_bytes());
    row_version[8..16].copy_from_slice(&row.revision.to_le_bytes());
    row_version[16] = row.state as u8;
    digest.toggle(row.node.as_str().as_bytes(), &row_version);
}
