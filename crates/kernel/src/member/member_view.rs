use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, IncarnationNumber, NodeName},
    member::{BackendRow, MemberRow, MemberState, MemberTable},
    spread::PushQueue,
};

/// Number of rounds in which a row is pushed of which only hints have changed. A node that misses
/// the push finds the row with its next exchange.
const HINT_PUSH_ROUNDS: u8 = 1;

/// Outcome of merging a row into the member table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The row was not newer than the known one.
    Unchanged,
    /// The row replaced the known one and differs from it in hints only.
    HintsChanged,
    /// The row replaced the known one.
    Changed,
    /// The row made a false claim about this node, which has replaced it with a newer row of its
    /// own.
    Refuted,
}

/// Membership state of one node: its own row and what it knows of the other members.
///
/// A member that does not reply is suspected first, and declared gone only if it has not refuted
/// the suspicion by a deadline. Rows of gone members are kept as tombstones for a while, so that
/// late messages do not resurrect a failed member and a partitioned data centre is still contacted.
#[derive(Clone, Debug)]
pub struct MemberView {
    own_name: NodeName,
    table: MemberTable,
    /// When each suspected member is declared gone.
    suspects: BTreeMap<NodeName, ClockInstant>,
    /// When the row of each gone member is removed.
    tombstones: BTreeMap<NodeName, ClockInstant>,
    /// Last contact with each other data centre.
    last_contact: BTreeMap<DataCentre, ClockInstant>,
    push_queue: PushQueue<NodeName>,
    /// Members of whose rows only hints have changed; their pushes can wait.
    hint_queue: PushQueue<NodeName>,
    push_rounds: u8,
    suspicion_timeout: TimeBudget,
    tombstone_ttl: TimeBudget,
    refutations: u64,
}

impl MemberView {
    /// Creates the view of a node that knows only its own row.
    #[must_use]
    pub fn new(
        own: MemberRow,
        push_rounds: u8,
        suspicion_timeout: TimeBudget,
        tombstone_ttl: TimeBudget,
    ) -> Self {
        let mut view = Self {
            own_name: own.node.clone(),
            table: MemberTable::default(),
            suspects: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            push_queue: PushQueue::default(),
            hint_queue: PushQueue::default(),
            push_rounds,
            suspicion_timeout,
            tombstone_ttl,
            refutations: 0,
        };
        view.push_queue.enqueue(own.node.clone(), push_rounds);
        view.table.merge(own);
        view
    }

    /// Returns this node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        self.table
            .get(&self.own_name)
            .expect("a node never removes its own row")
    }

    /// Returns the known members.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns how often this node has refuted a suspicion of itself.
    #[must_use]
    pub const fn refutations(&self) -> u64 {
        self.refutations
    }

    /// Returns the queue of changed rows to push.
    pub fn push_queue(&mut self) -> &mut PushQueue<NodeName> {
        &mut self.push_queue
    }

    /// Returns the queue of rows to push of which only hints have changed.
    pub fn hint_queue(&mut self) -> &mut PushQueue<NodeName> {
        &mut self.hint_queue
    }

    /// Returns whether a changed row waits for a push.
    #[must_use]
    pub fn has_pushes(&self) -> bool {
        !self.push_queue.is_empty()
    }

    /// Returns whether a row of which only hints have changed waits for a push.
    #[must_use]
    pub fn has_hint_pushes(&self) -> bool {
        !self.hint_queue.is_empty()
    }

    /// Merges a row that a peer sent, and queues it to be pushed to others if it was news.
    pub fn merge(&mut self, row: MemberRow, now: ClockInstant) -> MergeOutcome {
        let node = row.node.clone();
        let is_urgent = row.state >= MemberState::Draining;
        let outcome = self.merge_quietly(row, now);
        match outcome {
            MergeOutcome::Changed => {
                let rounds = self.push_rounds + u8::from(is_urgent);
                self.push_queue.enqueue(node, rounds);
            }
            MergeOutcome::HintsChanged => self.hint_queue.enqueue(node, HINT_PUSH_ROUNDS),
            MergeOutcome::Unchanged | MergeOutcome::Refuted => {}
        }
        outcome
    }

    /// Merges a row that others know already; it is not pushed.
    pub fn merge_quietly(&mut self, row: MemberRow, now: ClockInstant) -> MergeOutcome {
        if row.node == self.own_name {
            return self.refute(&row);
        }
        let held = self.table.get(&row.node);
        if held.is_none() && row.state == MemberState::Gone {
            return MergeOutcome::Unchanged;
        }
        let has_hints_only = held.is_some_and(|held| row.differs_in_hints_only(held));
        let (node, state) = (row.node.clone(), row.state);
        if !self.table.merge(row) {
            return MergeOutcome::Unchanged;
        }
        if has_hints_only {
            return MergeOutcome::HintsChanged;
        }
        self.schedule_expiry(&node, state, now);
        MergeOutcome::Changed
    }

    /// Records contact with a node of `centre`.
    pub fn record_contact(&mut self, centre: &DataCentre, now: ClockInstant) {
        if *centre != self.own().data_centre {
            self.last_contact.insert(centre.clone(), now);
        }
    }

    /// Marks a member that did not reply as suspected; returns whether that changed its row.
    pub fn suspect(&mut self, node: &NodeName, now: ClockInstant) -> bool {
        let Some(row) = self.table.get(node) else {
            return false;
        };
        let mut suspected = row.clone();
        suspected.state = MemberState::Suspect;
        self.merge(suspected, now) == MergeOutcome::Changed
    }

    /// Declares suspects gone whose deadline has passed, removes expired tombstones, and returns
    /// the members now gone.
    pub fn expire(&mut self, now: ClockInstant) -> Vec<NodeName> {
        let gone = take_expired(&mut self.suspects, now);
        for node in &gone {
            self.declare_gone(node, now);
        }
        for node in take_expired(&mut self.tombstones, now) {
            self.table.remove(&node);
        }
        gone
    }

    /// Sets this node's own lifecycle state; returns whether it changed.
    pub fn set_state(&mut self, state: MemberState) -> bool {
        if self.own().state == state {
            return false;
        }
        self.update_own(|row| row.state = state);
        true
    }

    /// Replaces this node's local backend servers.
    pub fn set_backends(&mut self, backends: Vec<BackendRow>) -> MergeOutcome {
        let held = self.own();
        if held.backends == backends {
            return MergeOutcome::Unchanged;
        }
        let mut changed = held.clone();
        changed.backends = backends;
        let has_hints_only = changed.differs_in_hints_only(held);
        let is_push_queued = self.push_queue.contains(&self.own_name);
        self.replace_own(changed);
        if has_hints_only && !is_push_queued {
            let node = self.own_name.clone();
            self.hint_queue.enqueue(node, HINT_PUSH_ROUNDS + 1);
            return MergeOutcome::HintsChanged;
        }
        self.enqueue_own();
        MergeOutcome::Changed
    }

    /// Starts a new incarnation of this node without backend servers, for example after a pause.
    pub fn rejoin(&mut self, now: ClockInstant) {
        let from_clock = IncarnationNumber::new(now.as_micros());
        let incarnation = from_clock.max(self.own().incarnation.next());
        self.update_own(|row| {
            row.incarnation = incarnation;
            row.state = MemberState::Starting;
            row.backends.clear();
        });
    }

    /// Returns the other data centres that have members but no contact since `since`.
    #[must_use]
    pub fn silent_data_centres(&self, since: ClockInstant) -> Vec<DataCentre> {
        self.other_data_centres()
            .into_iter()
            .filter(|centre| {
                self.last_contact
                    .get(centre)
                    .is_none_or(|last| *last < since)
            })
            .collect()
    }

    /// Returns whether other data centres have members but none had contact since `since`.
    #[must_use]
    pub fn is_cut_off(&self, since: ClockInstant) -> bool {
        let others = self.other_data_centres();
        !others.is_empty() && self.silent_data_centres(since).len() == others.len()
    }

    fn other_data_centres(&self) -> Vec<DataCentre> {
        let own_centre = &self.own().data_centre;
        let mut centres: Vec<_> = self
            .table
            .iter()
            .map(|row| &row.data_centre)
            .filter(|centre| *centre != own_centre)
            .cloned()
            .collect();
        centres.sort();
        centres.dedup();
        centres
    }

    /// Refutes a received row about this node that would replace its own, as only the node itself
    /// may change its row.
    fn refute(&mut self, received: &MemberRow) -> MergeOutcome {
        let own = self.own();
        let is_same = received == own;
        if is_same || !received.replaces(own) {
            return MergeOutcome::Unchanged;
        }
        let (incarnation, revision) = (received.incarnation, received.revision);
        self.refutations += 1;
        self.update_own(|row| {
            if incarnation > row.incarnation {
                row.incarnation = incarnation.next();
            }
            row.revision = row.revision.max(revision);
        });
        MergeOutcome::Refuted
    }

    fn update_own(&mut self, change: impl FnOnce(&mut MemberRow)) {
        let mut row = self.own().clone();
        change(&mut row);
        self.replace_own(row);
        self.enqueue_own();
    }

    fn replace_own(&mut self, mut row: MemberRow) {
        row.revision += 1;
        self.table.merge(row);
    }

    fn enqueue_own(&mut self) {
        self.push_queue
            .enqueue(self.own_name.clone(), self.push_rounds + 1);
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

    fn schedule_expiry(&mut self, node: &NodeName, state: MemberState, now: ClockInstant) {
        self.suspects.remove(node);
        self.tombstones.remove(node);
        match state {
            MemberState::Suspect => {
                let deadline = now.after(self.suspicion_timeout);
                self.suspects.insert(node.clone(), deadline);
            }
            MemberState::Gone => {
                let deadline = now.after(self.tombstone_ttl);
                self.tombstones.insert(node.clone(), deadline);
            }
            MemberState::Starting | MemberState::Serving | MemberState::Draining => {}
        }
    }
}

fn take_expired(
    deadlines: &mut BTreeMap<NodeName, ClockInstant>,
    now: ClockInstant,
) -> Vec<NodeName> {
    let due: Vec<_> = deadlines
        .iter()
        .filter(|(_, deadline)| deadline.has_passed(now))
        .map(|(node, _)| node.clone())
        .collect();
    deadlines.retain(|_, deadline| !deadline.has_passed(now));
    due
}
