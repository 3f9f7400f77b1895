use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, IncarnationNumber, NodeName},
    member::{MemberRow, MemberState, MemberTable},
};

/// Time after which an owner that did not reply is asked again.
const BLOCK_TIME: TimeBudget = TimeBudget::from_secs(1);
/// Largest factor on it, after several failures.
const MAX_BLOCK_FACTOR: u64 = 8;
/// Time for which a node passes reports on before the owner is asked again itself.
const THROUGH_TIME: TimeBudget = TimeBudget::from_secs(5);
/// Time for which a reply shows that a node can be reached.
const REPLY_TIME: TimeBudget = TimeBudget::from_millis(700);
/// Time for which a data centre counts as out of reach.
const CENTRE_BLOCK_TIME: TimeBudget = TimeBudget::from_secs(2);
/// Nodes of a data centre that fail to reply, with none replying, until it counts as out of reach.
const CENTRE_FAILURES: usize = 2;

/// Ways from an entry node to the owners that it can't reach directly.
///
/// A node of each other data centre is asked to pass reports on before an owner is replaced, since
/// two data centres can lose each other while a third reaches both. With a substitute in addition to
/// a working owner, twice the cap would run.
#[derive(Clone, Debug, Default)]
pub struct UsagePaths {
    owners: BTreeMap<NodeName, OwnerPath>,
    centres: BTreeMap<DataCentre, CentreFailures>,
    /// Instants until which the latest reply of a node shows that it can be reached.
    replies: BTreeMap<NodeName, ClockInstant>,
}

#[derive(Clone, Debug, Default)]
struct OwnerPath {
    /// Run of the owner that did not reply; a later one is asked at once.
    incarnation: IncarnationNumber,
    blocked_until: ClockInstant,
    failures: u32,
    /// Node that passes reports on.
    through: Option<NodeName>,
    /// Nodes that could not.
    tried: BTreeSet<NodeName>,
}

#[derive(Clone, Debug, Default)]
struct CentreFailures {
    blocked_until: ClockInstant,
    nodes: BTreeSet<NodeName>,
}

/// Next step on the way to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OwnerStep {
    /// It is asked itself.
    Direct,
    /// This node is asked to pass the report on.
    Through(NodeName),
    /// It is out of reach; the next owner is asked.
    Blocked,
}

impl UsagePaths {
    /// Returns the next step on the way to `owner`.
    pub(super) fn step(
        &self,
        now: ClockInstant,
        table: &MemberTable,
        own: &MemberRow,
        owner: &MemberRow,
    ) -> OwnerStep {
        let path = self.owners.get(&owner.node).filter(|path| {
            !path.blocked_until.has_passed(now) && path.incarnation == owner.incarnation
        });
        let is_centre_blocked = self.is_centre_blocked(now, &owner.data_centre);
        if path.is_none() && !is_centre_blocked {
            return OwnerStep::Direct;
        }
        let path = path.cloned().unwrap_or_default();
        if let Some(node) = path.through {
            return OwnerStep::Through(node);
        }
        let mut tried_centres: BTreeSet<_> = path
            .tried
            .iter()
            .filter_map(|node| table.get(node))
            .map(|row| &row.data_centre)
            .collect();
        tried_centres.insert(&own.data_centre);
        let mut others = table
            .iter()
            .filter(|row| row.state == MemberState::Serving && row.node != owner.node)
            .filter(|row| !tried_centres.contains(&row.data_centre))
            .filter(|row| !self.has_failed(now, row));
        match others.next() {
            Some(row) => OwnerStep::Through(row.node.clone()),
            None => OwnerStep::Blocked,
        }
    }

    /// Returns whether `node` was found to be out of reach.
    pub(super) fn is_blocked(&self, now: ClockInstant, node: &NodeName) -> bool {
        let path = self.owners.get(node);
        path.is_some_and(|path| !path.blocked_until.has_passed(now))
    }

    /// Returns whether `node` has replied to this node just now.
    pub(super) fn is_reached(&self, now: ClockInstant, node: &NodeName) -> bool {
        let until = self.replies.get(node);
        until.is_some_and(|until| !until.has_passed(now))
    }

    /// Records that a node replied.
    pub(super) fn record_reply(&mut self, now: ClockInstant, row: &MemberRow) {
        self.centres.remove(&row.data_centre);
        self.owners.remove(&row.node);
        self.replies.retain(|_, until| !until.has_passed(now));
        self.replies.insert(row.node.clone(), now.after(REPLY_TIME));
    }

    /// Records that `node` did not reply.
    pub(super) fn record_silence(&mut self, now: ClockInstant, row: &MemberRow) {
        let centre = self.centres.entry(row.data_centre.clone()).or_default();
        centre.nodes.insert(row.node.clone());
        centre.blocked_until = now.after(CENTRE_BLOCK_TIME);
        self.replies.remove(&row.node);
        let path = self.owners.entry(row.node.clone()).or_default();
        path.incarnation = row.incarnation;
        if path.blocked_until.has_passed(now) {
            let factor = (1 << path.failures.min(8)).min(MAX_BLOCK_FACTOR);
            path.blocked_until = now.after(TimeBudget::from_micros(
                BLOCK_TIME.as_micros().saturating_mul(factor),
            ));
            path.failures += 1;
            path.tried.clear();
            path.through = None;
        }
    }

    /// Records whether `node` passed a report on to `owner`.
    pub(super) fn record_relay(
        &mut self,
        now: ClockInstant,
        owner: &MemberRow,
        node: &NodeName,
        has_passed: bool,
    ) {
        let path = self.owners.entry(owner.node.clone()).or_default();
        path.incarnation = owner.incarnation;
        path.blocked_until = path.blocked_until.max(now.after(BLOCK_TIME));
        match has_passed {
            true => {
                path.through = Some(node.clone());
                path.blocked_until = now.after(THROUGH_TIME);
            }
            false => {
                path.through = None;
                path.tried.insert(node.clone());
            }
        }
    }

    fn has_failed(&self, now: ClockInstant, row: &MemberRow) -> bool {
        let centre = self.centres.get(&row.data_centre);
        let has_failed = |centre: &CentreFailures| centre.nodes.contains(&row.node);
        self.is_centre_blocked(now, &row.data_centre)
            || self.is_blocked(now, &row.node)
            || centre.is_some_and(has_failed)
    }

    fn is_centre_blocked(&self, now: ClockInstant, centre: &DataCentre) -> bool {
        self.centres.get(centre).is_some_and(|centre| {
            centre.nodes.len() >= CENTRE_FAILURES && !centre.blocked_until.has_passed(now)
        })
    }
}
