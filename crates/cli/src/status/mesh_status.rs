use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    ids::{DataCentre, MeshName, NodeName, VersionNumber},
    member::MemberState,
    spread::VersionRow,
    status::{MemberStatus, NodeStatus, RefusedVersion},
};
use compact_str::{CompactString, format_compact};
use serde::Serialize;

use crate::nodes::NodeAddress;

/// What is known of a mesh from the nodes that answered.
#[derive(Debug, Serialize)]
pub(crate) struct MeshStatus {
    /// Newest version that the platform has accepted, if the platform was asked.
    pub(crate) accepted: Option<AcceptedVersion>,
    /// Nodes that answered.
    pub(crate) nodes: Vec<NodeLine>,
    /// Each data centre with what its nodes run.
    pub(crate) data_centres: BTreeMap<DataCentre, CentreSummary>,
    /// What could not be heard, and why.
    pub(crate) not_heard: Vec<CompactString>,
    /// Whether a node wanted the operators' token.
    pub(crate) is_token_missing: bool,
}

/// The newest version that the platform has accepted.
#[derive(Debug, Serialize)]
pub(crate) struct AcceptedVersion {
    pub(crate) number: VersionNumber,
    pub(crate) publisher: CompactString,
    pub(crate) age_ms: u64,
}

/// A node that answered.
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

/// What the nodes of one data centre run.
#[derive(Debug, Default, Serialize)]
pub(crate) struct CentreSummary {
    /// Nodes that answered.
    pub(crate) heard: usize,
    /// Nodes that others know as serving, and that did not answer or were not asked.
    pub(crate) not_heard: usize,
    /// Nodes that others know in another state, and that did not answer or were not asked.
    pub(crate) in_doubt: usize,
    /// Lowest version in force among the nodes that answered.
    pub(crate) lowest: Option<VersionNumber>,
    /// Highest version in force among the nodes that answered.
    pub(crate) highest: Option<VersionNumber>,
}

impl MeshStatus {
    /// Puts together what the asked nodes answered.
    pub(crate) fn new(
        addresses: &[NodeAddress],
        answers: Vec<Result<NodeStatus, MeshError>>,
    ) -> Self {
        let mut status = Self {
            accepted: None,
            nodes: Vec::new(),
            data_centres: BTreeMap::new(),
            not_heard: Vec::new(),
            is_token_missing: false,
        };
        let mut known = BTreeMap::new();
        for (address, answer) in addresses.iter().zip(answers) {
            match answer {
                Ok(answer) => status.add_node(*address, answer, &mut known),
                Err(error) => status.add_failure(&error),
            }
        }
        status.add_unheard(&known);
        status
    }

    /// Adds the platform's row of the newest accepted version.
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
        answer: NodeStatus,
        known: &mut BTreeMap<NodeName, (MemberStatus, NodeName)>,
    ) {
        let own = answer
            .members
            .iter()
            .find(|member| member.node == answer.node);
        let line = NodeLine {
            backends: own.map_or(0, |member| member.backends.len()),
            mesh: answer.mesh,
            node: answer.node.clone(),
            data_centre: answer.data_centre,
            address,
            state: answer.state,
            version: answer.version.map(|stamp| stamp.number),
            age_ms: answer.applied_at.elapsed(answer.now).as_millis(),
            is_platform_away: answer.is_platform_away,
            is_cut_off: answer.is_cut_off,
            silent_data_centres: answer.silent_data_centres,
            refused: answer.refused,
        };
        for member in answer.members {
            known.insert(member.node.clone(), (member, answer.node.clone()));
        }
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

    /// Counts the members that were not heard, and names those that do not serve.
    fn add_unheard(&mut self, known: &BTreeMap<NodeName, (MemberStatus, NodeName)>) {
        for (name, (member, witness)) in known {
            let is_heard = self.nodes.iter().any(|line| line.node == *name);
            if is_heard || member.state == MemberState::Gone {
                continue;
            }
            if member.state == MemberState::Serving {
                self.centre(&member.data_centre).not_heard += 1;
                continue;
            }
            self.centre(&member.data_centre).in_doubt += 1;
            let state = state_name(member.state);
            self.not_heard.push(format_compact!(
                "node {name} in {}: {witness} knows it as {state}",
                member.data_centre
            ));
        }
    }

    fn centre(&mut self, centre: &DataCentre) -> &mut CentreSummary {
        self.data_centres.entry(centre.clone()).or_default()
    }
}

/// Returns a state's name for people.
pub(crate) const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Starting => "starting",
        MemberState::Serving => "serving",
        MemberState::Draining => "draining",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}
