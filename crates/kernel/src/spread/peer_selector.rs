use std::{collections::BTreeMap, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};

use crate::{
    clock::ClockInstant,
    ids::{DataCentre, NodeName},
    member::{MemberRow, MemberState, Membership},
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
pub struct PeerSelector {
    /// Until when each unanswering peer is passed over.
    backoff_until: BTreeMap<NodeName, ClockInstant>,
}

impl PeerSelector {
    /// Passes over `node` until `deadline`.
    pub fn back_off(&mut self, node: NodeName, deadline: ClockInstant) {
        self.backoff_until.insert(node, deadline);
    }

    /// Notes that `node` answered.
    pub fn mark_responsive(&mut self, node: &NodeName) {
        self.backoff_until.remove(node);
    }

    /// Chooses at most `count` live members of `centre` other than the membership's own.
    pub fn select_in(
        &self,
        membership: &Membership,
        centre: &DataCentre,
        count: usize,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Vec<PeerTarget> {
        membership
            .table()
            .live()
            .filter(|row| row.data_centre == *centre)
            .filter(|row| self.is_eligible(membership, row, now))
            .map(PeerTarget::from)
            .choose_multiple(rng, count)
    }

    /// Chooses one live member of any other data centre.
    pub fn select_remote(
        &self,
        membership: &Membership,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Option<PeerTarget> {
        let own = &membership.own().data_centre;
        membership
            .table()
            .live()
            .filter(|row| row.data_centre != *own)
            .filter(|row| self.is_eligible(membership, row, now))
            .map(PeerTarget::from)
            .choose(rng)
    }

    /// Chooses one suspected or gone member, so that it learns what is said of it if it lives.
    pub fn select_unreachable(
        &self,
        membership: &Membership,
        rng: &mut impl Rng,
    ) -> Option<PeerTarget> {
        membership
            .table()
            .iter()
            .filter(|row| row.state >= MemberState::Suspect)
            .filter(|row| row.node != membership.own().node)
            .map(PeerTarget::from)
            .choose(rng)
    }

    fn is_eligible(&self, membership: &Membership, row: &MemberRow, now: ClockInstant) -> bool {
        let is_backed_off = self
            .backoff_until
            .get(&row.node)
            .is_some_and(|deadline| !deadline.has_passed(now));
        !is_backed_off && row.node != membership.own().node
    }
}
