use std::cmp::Reverse;

use crate::{
    ids::{DataCentre, NodeName},
    member::{MemberState, MemberTable},
};

/// Number of nodes in each data centre that read the platform's version row.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// Selects the nodes of a data centre that read the platform's version row, by rendezvous hashing of
/// its starting and serving nodes, in rank order.
///
/// Nodes with the same view of the members select the same readers without coordination, and a
/// membership change moves the role only when a reader joins or leaves. Nodes that temporarily
/// disagree only cause a few extra reads.
#[must_use]
pub fn select_readers(table: &MemberTable, centre: &DataCentre) -> Vec<NodeName> {
    rank_nodes(table, centre, READERS_PER_DATA_CENTRE)
}

/// Returns the first `count` nodes of a data centre in the order in which readers are selected.
pub(crate) fn rank_nodes(table: &MemberTable, centre: &DataCentre, count: usize) -> Vec<NodeName> {
    let mut ranked: Vec<_> = table
        .iter()
        .filter(|row| row.data_centre == *centre)
        .filter(|row| matches!(row.state, MemberState::Starting | MemberState::Serving))
        .map(|row| (Reverse(weight(centre, &row.node)), &row.node))
        .collect();
    ranked.sort_unstable();
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, node)| node.clone()).collect()
}

fn weight(centre: &DataCentre, node: &NodeName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(centre.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
