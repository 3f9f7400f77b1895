use std::sync::Arc;

use bronzelb_kernel::{
    config::ConfigVersion,
    spread::GossipNode,
    status::{AccountStatus, EvacuationStatus, MemberStatus, NodeStatus, RefusedVersion},
};

use crate::node::{NodeState, PlatformHealth};

/// Builds the status report of a node.
pub(crate) fn node_status(state: &NodeState) -> NodeStatus {
    let settings = &state.settings;
    let now = state.now();
    let gossip = &state.gossip;
    let config = state.config();
    NodeStatus {
        mesh: settings.mesh.clone(),
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: state.incarnation(),
        state: state.member_state(),
        callers: state.addresses.callers,
        version: config.as_ref().map(|config| config.stamp()),
        applied_at: state.applied_at(),
        now,
        is_platform_away: state.platform_health() == PlatformHealth::Unreachable,
        platform: gossip.read(|node| node.platform_state(now).name().into()),
        is_cut_off: gossip.read(|node| node.is_cut_off(now)),
        silent_data_centres: gossip.read(|node| node.silent_data_centres(now)),
        is_reader: gossip.read(GossipNode::is_reader),
        refused: gossip.read(refused_versions),
        evacuations: evacuations(state),
        accounts: config.as_ref().map_or_else(Vec::new, accounts),
        members: state.members().iter().map(MemberStatus::from).collect(),
    }
}

fn evacuations(state: &NodeState) -> Vec<EvacuationStatus> {
    let table = state.placement.evacuations();
    let entries = table.iter();
    entries.map(EvacuationStatus::from).collect()
}

fn accounts(config: &Arc<ConfigVersion>) -> Vec<AccountStatus> {
    let accounts = config.snapshot().accounts.iter();
    accounts
        .map(|(name, spec)| AccountStatus::new(name, spec))
        .collect()
}

fn refused_versions(node: &GossipNode) -> Vec<RefusedVersion> {
    node.refused()
        .iter()
        .map(|(version, error)| RefusedVersion {
            version: *version,
            reason: error.message().into(),
        })
        .collect()
}
