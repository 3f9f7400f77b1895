use std::collections::BTreeMap;

use crate::{
    ids::{DataCentre, NodeName},
    member::{MemberRow, MemberState},
    spread::{BucketIndex, TableDigest},
};

/// Members of a mesh, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<NodeName, MemberRow>,
    digest: TableDigest,
    generation: u64,
}

impl MemberTable {
    /// Merges a row and returns whether it replaced the known one.
    pub fn merge(&mut self, row: MemberRow) -> bool {
        let held = self.rows.get(&row.node);
        if held.is_some_and(|held| !row.replaces(held)) {
            return false;
        }
        toggle(&mut self.digest, held);
        toggle(&mut self.digest, Some(&row));
        self.rows.insert(row.node.clone(), row);
        self.generation += 1;
        true
    }

    /// Removes the row of `node`.
    pub fn remove(&mut self, node: &NodeName) {
        let removed = self.rows.remove(node);
        toggle(&mut self.digest, removed.as_ref());
        self.generation += 1;
    }

    /// Returns a number that increases with every change of the table.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the row of `node`.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&MemberRow> {
        self.rows.get(node)
    }

    /// Returns every row in name order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRow> {
        self.rows.values()
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
        self.iter()
            .filter(|row| row.state != MemberState::Gone)
            .filter(|row| buckets.contains(&bucket_of(row)))
            .cloned()
            .collect()
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
}

fn bucket_of(row: &MemberRow) -> BucketIndex {
    BucketIndex::of(row.node.as_str().as_bytes())
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
