use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, IncarnationNumber, NodeName},
    member::{BackendRow, MemberRow, MemberState, MemberTable},
    spread::RumourQueue,
};

/// What a merge did to the member table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The row was not newer than the held one.
    Known,
    /// The row replaced the held one.
    Changed,
    /// The row claimed something untrue of this node, which has raised its own row above it.
    Refuted,
}

/// Keeper of one node's own row and of what it knows of the other members.
///
/// A member that does not answer is suspected first, and gone only when it has not refuted by a
/// stored deadline. Gone rows are remembered for a while, so that late rumours do not bring a dead
/// member back, and so that a data centre that was cut off is looked for.
#[derive(Clone, Debug)]
pub struct MemberAgent {
    own: NodeName,
    table: MemberTable,
    /// When each suspect is declared gone.
    suspects: BTreeMap<NodeName, ClockInstant>,
    /// When each gone member's row is dropped.
    tombstones: BTreeMap<NodeName, ClockInstant>,
    /// Last contact with each other data centre.
    heard: BTreeMap<DataCentre, ClockInstant>,
    rumours: RumourQueue<NodeName>,
    rounds: u8,
    suspicion: TimeBudget,
    tombstone: TimeBudget,
    refutations: u64,
}

impl MemberAgent {
    /// Builds an agent that knows only its own row.
    #[must_use]
    pub fn new(own: MemberRow, rounds: u8, suspicion: TimeBudget, tombstone: TimeBudget) -> Self {
        let mut agent = Self {
            own: own.node.clone(),
            table: MemberTable::default(),
            suspects: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            heard: BTreeMap::new(),
            rumours: RumourQueue::default(),
            rounds,
            suspicion,
            tombstone,
            refutations: 0,
        };
        agent.rumours.add(own.node.clone(), rounds);
        agent.table.merge(own);
        agent
    }

    /// Returns this node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        self.table
            .get(&self.own)
            .expect("an agent never removes its own row")
    }

    /// Returns the members that this node knows.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns how often this node has refuted a suspicion of itself.
    #[must_use]
    pub const fn refutations(&self) -> u64 {
        self.refutations
    }

    /// Returns the changed rows that are to be pushed.
    pub fn rumours(&mut self) -> &mut RumourQueue<NodeName> {
        &mut self.rumours
    }

    /// Takes in a row that a peer sent.
    pub fn merge(&mut self, row: MemberRow, now: ClockInstant) -> MergeOutcome {
        if row.node == self.own {
            return self.judge_own(&row);
        }
        let is_unknown = self.table.get(&row.node).is_none();
        if is_unknown && row.state == MemberState::Gone {
            return MergeOutcome::Known;
        }
        let (node, state) = (row.node.clone(), row.state);
        if !self.table.merge(row) {
            return MergeOutcome::Known;
        }
        self.note_state(&node, state, now);
        let urgent_round = u8::from(state >= MemberState::Draining);
        self.rumours.add(node, self.rounds + urgent_round);
        MergeOutcome::Changed
    }

    /// Notes contact with a node of `centre`.
    pub fn heard_from(&mut self, centre: &DataCentre, now: ClockInstant) {
        if *centre != self.own().data_centre {
            self.heard.insert(centre.clone(), now);
        }
    }

    /// Suspects a member that did not answer; returns whether this is new.
    pub fn suspect(&mut self, node: &NodeName, now: ClockInstant) -> bool {
        let Some(row) = self.table.get(node) else {
            return false;
        };
        let mut suspected = row.clone();
        suspected.state = MemberState::Suspect;
        self.merge(suspected, now) == MergeOutcome::Changed
    }

    /// Declares overdue suspects gone, drops old tombstones, and returns the members now gone.
    pub fn expire(&mut self, now: ClockInstant) -> Vec<NodeName> {
        let gone = take_due(&mut self.suspects, now);
        for node in &gone {
            self.declare_gone(node, now);
        }
        for node in take_due(&mut self.tombstones, now) {
            self.table.remove(&node);
        }
        gone
    }

    /// Changes this node's own lifecycle; returns whether it changed.
    pub fn set_state(&mut self, state: MemberState) -> bool {
        if self.own().state == state {
            return false;
        }
        self.raise_own(|row| row.state = state);
        true
    }

    /// Replaces the backend servers beside this node; returns whether they changed.
    pub fn set_backends(&mut self, backends: Vec<BackendRow>) -> bool {
        if self.own().backends == backends {
            return false;
        }
        self.raise_own(|row| row.backends = backends);
        true
    }

    /// Starts a new incarnation of this node, as after a pause, without backend servers.
    pub fn rejoin(&mut self, now: ClockInstant) {
        let drawn = IncarnationNumber::new(now.as_micros());
        let incarnation = drawn.max(self.own().incarnation.next());
        self.raise_own(|row| {
            row.incarnation = incarnation;
            row.state = MemberState::Starting;
            row.backends.clear();
        });
    }

    /// Returns the other data centres that have members and were not heard from since `since`.
    #[must_use]
    pub fn silent_data_centres(&self, since: ClockInstant) -> Vec<DataCentre> {
        self.other_centres()
            .into_iter()
            .filter(|centre| self.heard.get(centre).is_none_or(|last| *last < since))
            .collect()
    }

    /// Returns whether other data centres have members and none of them was heard from.
    #[must_use]
    pub fn is_cut_off(&self, since: ClockInstant) -> bool {
        let others = self.other_centres();
        !others.is_empty() && self.silent_data_centres(since).len() == others.len()
    }

    fn other_centres(&self) -> Vec<DataCentre> {
        let own = &self.own().data_centre;
        let mut centres: Vec<_> = self
            .table
            .iter()
            .map(|row| &row.data_centre)
            .filter(|centre| *centre != own)
            .cloned()
            .collect();
        centres.sort();
        centres.dedup();
        centres
    }

    /// Answers a row about this node itself, which only this node may change.
    fn judge_own(&mut self, received: &MemberRow) -> MergeOutcome {
        let own = self.own();
        let is_same = received == own;
        if is_same || !received.replaces(own) {
            return MergeOutcome::Known;
        }
        let (incarnation, revision) = (received.incarnation, received.revision);
        self.refutations += 1;
        self.raise_own(|row| {
            if incarnation > row.incarnation {
                row.incarnation = incarnation.next();
            }
            row.revision = row.revision.max(revision);
        });
        MergeOutcome::Refuted
    }

    fn raise_own(&mut self, change: impl FnOnce(&mut MemberRow)) {
        let mut row = self.own().clone();
        change(&mut row);
        row.revision += 1;
        self.table.merge(row);
        self.rumours.add(self.own.clone(), self.rounds + 1);
    }

    fn declare_gone(&mut self, node: &NodeName, now: ClockInstant) {
        let Some(row) = self.table.get(node) else {
            return;
        };
        let mut gone = row.clone();
        gone.state = MemberState::Gone;
        gone.backends.clear();
        self.merge(gone, now);
    }

    fn note_state(&mut self, node: &NodeName, state: MemberState, now: ClockInstant) {
        self.suspects.remove(node);
        self.tombstones.remove(node);
        match state {
            MemberState::Suspect => {
                let deadline = now.after(self.suspicion);
                self.suspects.insert(node.clone(), deadline);
            }
            MemberState::Gone => {
                let deadline = now.after(self.tombstone);
                self.tombstones.insert(node.clone(), deadline);
            }
            MemberState::Starting | MemberState::Serving | MemberState::Draining => {}
        }
    }
}

fn take_due(deadlines: &mut BTreeMap<NodeName, ClockInstant>, now: ClockInstant) -> Vec<NodeName> {
    let due: Vec<_> = deadlines
        .iter()
        .filter(|(_, deadline)| deadline.has_passed(now))
        .map(|(node, _)| node.clone())
        .collect();
    deadlines.retain(|_, deadline| !deadline.has_passed(now));
    due
}
