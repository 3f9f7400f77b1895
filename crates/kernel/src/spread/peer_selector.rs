use std::{collections::BTreeMap, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};

use crate::{
    clock::ClockInstant,
    ids::{DataCentre, NodeName},
    member::{MemberRow, MemberState, MemberView},
};

/// Peer that a message is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the peer, if known.
    pub node: Option<NodeName>,
    /// Address of its peer listener.
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

/// Selects random peers, excluding those that recently failed to reply.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    /// End of the backoff of each peer that failed to reply.
    backoff_until: BTreeMap<NodeName, ClockInstant>,
}

impl PeerSelector {
    /// Excludes `node` from selection until `deadline`.
    pub fn back_off(&mut self, node: NodeName, deadline: ClockInstant) {
        self.backoff_until.insert(node, deadline);
    }

    /// Ends the backoff of `node`, which has replied.
    pub fn mark_responsive(&mut self, node: &NodeName) {
        self.backoff_until.remove(node);
    }

    /// Selects at most `count` random live members of `centre`, excluding the node itself.
    pub fn select_in(
        &self,
        view: &MemberView,
        centre: &DataCentre,
        count: usize,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Vec<PeerTarget> {
        view.table()
            .live()
            .filter(|row| row.data_centre == *centre)
            .filter(|row| self.is_eligible(view, row, now))
            .map(PeerTarget::from)
            .choose_multiple(rng, count)
    }

    /// Selects a random live member of any other data centre.
    pub fn select_remote(
        &self,
        view: &MemberView,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Option<PeerTarget> {
        let own_centre = &view.own().data_centre;
        view.table()
            .live()
            .filter(|row| row.data_centre != *own_centre)
            .filter(|row| self.is_eligible(view, row, now))
            .map(PeerTarget::from)
            .choose(rng)
    }

    /// Selects a random suspected or gone member. If it is alive, it learns of the suspicion and
    /// refutes it.
    pub fn select_unreachable(&self, view: &MemberView, rng: &mut impl Rng) -> Option<PeerTarget> {
        view.table()
            .iter()
            .filter(|row| row.state >= MemberState::Suspect)
            .filter(|row| row.node != view.own().node)
            .map(PeerTarget::from)
            .choose(rng)
    }

    fn is_eligible(&self, view: &MemberView, row: &MemberRow, now: ClockInstant) -> bool {
        let is_backed_off = self
            .backoff_until
            .get(&row.node)
            .is_some_and(|deadline| !deadline.has_passed(now));
        !is_backed_off && row.node != view.own().node
    }
}
