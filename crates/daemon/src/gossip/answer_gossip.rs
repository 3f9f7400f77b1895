use bronzelb_wire::peer::{GossipReply, GossipRequest, RecordEntry};

use crate::node::NodeState;

/// Takes in a peer's gossip and returns what this node holds.
pub fn answer_gossip(state: &NodeState, request: GossipRequest) -> GossipReply {
    {
        let mut members = state.members();
        for row in request.members {
            members.merge(row);
        }
    }
    {
        let mut records = state.records();
        for entry in request.records {
            // A malformed record is dropped; the peer keeps its own.
            let _ = records.merge(entry.key, &entry.value);
        }
    }
    GossipReply {
        stamp: state.config().map(|config| config.stamp()),
        members: state.members().iter().cloned().collect(),
        records: held_records(state),
    }
}

/// Returns every record that this node holds.
pub(crate) fn held_records(state: &NodeState) -> Vec<RecordEntry> {
    state
        .records()
        .iter()
        .map(|(key, value)| RecordEntry {
            key: key.clone(),
            value: value.clone(),
        })
        .collect()
}
