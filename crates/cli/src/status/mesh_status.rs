use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    ids::{DataCentre, MeshName, NodeName, RowRevision, VersionNumber},
    member::MemberState,
    spread::VersionRow,
    status::{AccountStatus, MemberStatus, NodeStatus, RefusedVersion},
};
use compact_str::{CompactString, format_compact};
use serde::Serialize;

use crate::nodes::NodeAddress;

/// Status of a mesh, as reported by the nodes that responded.
#[derive(Debug, Serialize)]
pub(crate) struct MeshStatus {
    /// Newest version that the platform has accepted, if the platform was queried.
    pub(crate) accepted: Option<AcceptedVersion>,
    /// Nodes that responded.
    pub(crate) nodes: Vec<NodeLine>,
    /// Client accounts of the highest version in force among these nodes, with their use at all of
    /// them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) accounts: Vec<AccountStatus>,
    /// Summary of each data centre.
    pub(crate) data_centres: BTreeMap<DataCentre, CentreSummary>,
    /// Evacuations that are in force by the word of any node that responded.
    pub(crate) evacuations: BTreeMap<DataCentre, EvacuationLine>,
    /// Messages about nodes or the platform that failed to respond, and about unresponsive members
    /// that others do not report as serving.
    pub(crate) not_heard: Vec<CompactString>,
    /// Whether a node rejected the request because of a missing or wrong token.
    pub(crate) is_token_missing: bool,
}

/// Evacuation of a data centre, by the word of the nodes that responded.
#[derive(Debug, Default, Serialize)]
pub(crate) struct EvacuationLine {
    /// Highest revision of the platform at which a node has seen the order.
    pub(crate) revision: RowRevision,
    /// Time since a node first saw the order.
    pub(crate) age_ms: u64,
    /// Nodes by which the order is in force.
    pub(crate) in_force_at: Vec<NodeName>,
    /// Nodes that do not know the order, or know that it has ended.
    pub(crate) unknown_at: Vec<NodeName>,
}

/// Newest version that the platform has accepted.
#[derive(Debug, Serialize)]
pub(crate) struct AcceptedVersion {
    pub(crate) number: VersionNumber,
    pub(crate) publisher: CompactString,
    pub(crate) age_ms: u64,
}

/// A node that responded.
#[derive(Debug, Serialize)]
pub(crate) struct NodeLine {
    pub(crate) mesh: MeshName,
    pub(crate) node: NodeName,
    pub(crate) data_centre: DataCentre,
    pub(crate) address: NodeAddress,
    pub(crate) state: MemberState,
    pub(crate) version: Option<VersionNumber>,
    /// Time since the version came into force.
    pub(crate) age_ms: u64,
    pub(crate) is_platform_away: bool,
    pub(crate) backends: usize,
    pub(crate) is_cut_off: bool,
    pub(crate) silent_data_centres: Vec<DataCentre>,
    pub(crate) refused: Vec<RefusedVersion>,
}

/// Summary of the nodes of one data centre.
#[derive(Debug, Default, Serialize)]
pub(crate) struct CentreSummary {
    /// Number of nodes that responded.
    pub(crate) heard: usize,
    /// Number of nodes that others report as serving, and that did not respond or were not queried.
    pub(crate) not_heard: usize,
    /// Number of nodes that others report in another state, and that did not respond or were not
    /// queried.
    pub(crate) in_doubt: usize,
    /// Lowest version in force among the nodes that responded.
    pub(crate) lowest: Option<VersionNumber>,
    /// Highest version in force among the nodes that responded.
    pub(crate) highest: Option<VersionNumber>,
}

impl MeshStatus {
    /// Merges the responses of the queried nodes.
    pub(crate) fn new(
        addresses: &[NodeAddress],
        responses: Vec<Result<NodeStatus, MeshError>>,
    ) -> Self {
        let mut status = Self {
            accepted: None,
            nodes: Vec::new(),
            accounts: Vec::new(),
            data_centres: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            not_heard: Vec::new(),
            is_token_missing: false,
        };
        let mut known = BTreeMap::new();
        for (address, response) in addresses.iter().zip(responses) {
            match response {
                Ok(response) => status.add_node(*address, response, &mut known),
                Err(error) => status.add_failure(&error),
            }
        }
        status.add_unresponsive(&known);
        status.add_unaware();
        status
    }

    /// Adds the platform's row for the newest accepted version.
    #[must_use]
    pub(crate) fn with_accepted(mut self, row: &VersionRow, age: TimeBudget) -> Self {
        self.accepted = Some(AcceptedVersion {
            number: row.number,
            publisher: row.publisher.clone(),
            age_ms: age.as_millis(),
        });
        self
    }

    fn add_node(
        &mut self,
        address: NodeAddress,
        response: NodeStatus,
        known: &mut BTreeMap<NodeName, (MemberStatus, NodeName)>,
    ) {
        let own = response
            .members
            .iter()
            .find(|member| member.node == response.node);
        let line = NodeLine {
            backends: own.map_or(0, |member| member.backends.len()),
            mesh: response.mesh,
            node: response.node.clone(),
            data_centre: response.data_centre,
            address,
            state: response.state,
            version: response.version.map(|stamp| stamp.number),
            age_ms: response.applied_at.elapsed(response.now).as_millis(),
            is_platform_away: response.is_platform_away,
            is_cut_off: response.is_cut_off,
            silent_data_centres: response.silent_data_centres,
            refused: response.refused,
        };
        let ordered = response.evacuations.iter();
        for evacuation in ordered.filter(|evacuation| evacuation.is_ordered) {
            let data_centre = evacuation.data_centre.clone();
            let entry = self.evacuations.entry(data_centre).or_default();
            let age = evacuation.seen_at.elapsed(response.now);
            entry.revision = entry.revision.max(evacuation.revision);
            entry.age_ms = entry.age_ms.max(age.as_millis());
            entry.in_force_at.push(response.node.clone());
        }
        for member in response.members {
            known.insert(member.node.clone(), (member, response.node.clone()));
        }
        let highest = self.nodes.iter().filter_map(|line| line.version).max();
        let (mut accounts, others) = match line.version > highest {
            true => (response.accounts, std::mem::take(&mut self.accounts)),
            false => (std::mem::take(&mut self.accounts), response.accounts),
        };
        for status in &mut accounts {
            let other = others.iter().find(|other| other.account == status.account);
            status.add_usage(other.and_then(|other| other.usage));
        }
        self.accounts = accounts;
        let summary = self.centre(&line.data_centre);
        summary.heard += 1;
        if let Some(version) = line.version {
            summary.lowest = Some(summary.lowest.map_or(version, |lowest| lowest.min(version)));
            summary.highest = summary.highest.max(Some(version));
        }
        self.nodes.push(line);
    }

    fn add_failure(&mut self, error: &MeshError) {
        self.not_heard.push(error.message().into());
        self.is_token_missing |= error.kind() == ErrorKind::Unauthorized;
    }

    /// Counts the known members that did not respond, and lists those that are not serving.
    fn add_unresponsive(&mut self, known: &BTreeMap<NodeName, (MemberStatus, NodeName)>) {
        for (name, (member, reporter)) in known {
            let has_responded = self.nodes.iter().any(|line| line.node == *name);
            if has_responded || member.state == MemberState::Gone {
                continue;
            }
            if member.state == MemberState::Serving {
                self.centre(&member.data_centre).not_heard += 1;
                continue;
            }
            self.centre(&member.data_centre).in_doubt += 1;
            let state = state_name(member.state);
            self.not_heard.push(format_compact!(
                "node {name} in {}: {reporter} knows it as {state}",
                member.data_centre
            ));
        }
    }

    /// Lists for each evacuation the nodes that responded and do not take it as in force.
    fn add_unaware(&mut self) {
        for evacuation in self.evacuations.values_mut() {
            let nodes = self.nodes.iter().map(|line| &line.node);
            let unaware = nodes.filter(|node| !evacuation.in_force_at.contains(node));
            evacuation.unknown_at = unaware.cloned().collect();
        }
    }

    fn centre(&mut self, centre: &DataCentre) -> &mut CentreSummary {
        self.data_centres.entry(centre.clone()).or_default()
    }
}

/// Returns the display name of a state.
pub(crate) const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Starting => "starting",
        MemberState::Serving => "serving",
        MemberState::Draining => "draining",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}
