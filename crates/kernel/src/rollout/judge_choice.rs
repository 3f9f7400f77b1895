use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentre, NodeName, ServiceName},
    member::{MemberState, MemberTable},
    rollout::MoveEvidence,
};

/// Number of nodes in each data centre that evaluate the moves of a service.
pub const JUDGES_PER_DATA_CENTRE: usize = 2;

/// Evidence about the move of one service, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Evidence of one node, or of all nodes of a data centre.
    pub evidence: MoveEvidence,
}

/// Chooses the judges of a service, the nodes that evaluate its moves, by rendezvous hashing in
/// each data centre.
///
/// Nodes with the same set of live members choose the same judges without coordination. Nodes
/// whose views of the membership differ for a while send evidence to a node that does not need it.
#[must_use]
pub fn choose_judges(
    table: &MemberTable,
    service: &ServiceName,
) -> BTreeMap<DataCentre, BTreeSet<NodeName>> {
    let mut ranked: BTreeMap<&DataCentre, Vec<_>> = BTreeMap::new();
    let live = |state| matches!(state, MemberState::Starting | MemberState::Serving);
    for row in table.iter().filter(|row| live(row.state)) {
        let rank = (Reverse(rendezvous_weight(service, &row.node)), &row.node);
        ranked.entry(&row.data_centre).or_default().push(rank);
    }
    let choose = |mut nodes: Vec<(Reverse<[u8; 32]>, &NodeName)>| {
        nodes.sort_unstable();
        let chosen = nodes.into_iter().take(JUDGES_PER_DATA_CENTRE);
        chosen.map(|(_, node)| node.clone()).collect()
    };
    ranked
        .into_iter()
        .map(|(data_centre, nodes)| (data_centre.clone(), choose(nodes)))
        .collect()
}

fn rendezvous_weight(service: &ServiceName, node: &NodeName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
