use std::{collections::BTreeMap, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};

use crate::{
    clock::ClockInstant,
    ids::{DataCentre, NodeName},
    member::{MemberAgent, MemberRow, MemberState},
};

/// A peer that a message goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the peer, once it is known.
    pub node: Option<NodeName>,
    /// Address of its listener for peers.
    pub address: SocketAddr,
}

impl From<&MemberRow> for PeerTarget {
    fn from(row: &MemberRow) -> Self {
        Self {
            node: Some(row.node.clone()),
            address: row.peer_address,
        }
    }
}

/// Chooser of random peers, which passes over those that did not answer lately.
#[derive(Clone, Debug, Default)]
pub struct PeerPicker {
    /// Until when each unanswering peer is passed over.
    avoided: BTreeMap<NodeName, ClockInstant>,
}

impl PeerPicker {
    /// Passes over `node` until `deadline`.
    pub fn avoid(&mut self, node: NodeName, deadline: ClockInstant) {
        self.avoided.insert(node, deadline);
    }

    /// Notes that `node` answered.
    pub fn answered(&mut self, node: &NodeName) {
        self.avoided.remove(node);
    }

    /// Chooses at most `count` live members of `centre` other than the agent's own.
    pub fn pick_in(
        &self,
        agent: &MemberAgent,
        centre: &DataCentre,
        count: usize,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Vec<PeerTarget> {
        agent
            .table()
            .live()
            .filter(|row| row.data_centre == *centre)
            .filter(|row| self.is_eligible(agent, row, now))
            .map(PeerTarget::from)
            .choose_multiple(rng, count)
    }

    /// Chooses one live member of any other data centre.
    pub fn pick_remote(
        &self,
        agent: &MemberAgent,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Option<PeerTarget> {
        let own = &agent.own().data_centre;
        agent
            .table()
            .live()
            .filter(|row| row.data_centre != *own)
            .filter(|row| self.is_eligible(agent, row, now))
            .map(PeerTarget::from)
            .choose(rng)
    }

    /// Chooses one suspected or gone member, so that it learns what is said of it if it lives.
    pub fn pick_lost(&self, agent: &MemberAgent, rng: &mut impl Rng) -> Option<PeerTarget> {
        agent
            .table()
            .iter()
            .filter(|row| row.state >= MemberState::Suspect)
            .filter(|row| row.node != agent.own().node)
            .map(PeerTarget::from)
            .choose(rng)
    }

    fn is_eligible(&self, agent: &MemberAgent, row: &MemberRow, now: ClockInstant) -> bool {
        let is_avoided = self
            .avoided
            .get(&row.node)
            .is_some_and(|deadline| !deadline.has_passed(now));
        !is_avoided && row.node != agent.own().node
    }
}
