use std::collections::BTreeMap;

use crate::{ids::NodeName, member::MemberRow};

/// The members of a mesh as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<NodeName, MemberRow>,
}

impl MemberTable {
    /// Takes in a row and returns whether it replaced what was held.
    pub fn merge(&mut self, row: MemberRow) -> bool {
        let is_newer = self
            .rows
            .get(&row.node)
            .is_none_or(|held| row.replaces(held));
        if is_newer {
            self.rows.insert(row.node.clone(), row);
        }
        is_newer
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
}
