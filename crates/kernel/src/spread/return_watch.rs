use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::NodeName,
    member::{MemberState, MemberTable},
};

/// Time after a departure in which the node is expected back; supervisors restart a process within
/// a few seconds.
const WATCH_TIME: TimeBudget = TimeBudget::from_secs(5);
/// Time between two messages of a watcher to a departed node.
const CONTACT_INTERVAL: TimeBudget = TimeBudget::from_millis(200);
/// Watchers before and after a departed node in the order of names. Rolling stops often follow that
/// order, and then those before are already back.
const WATCHERS_BEFORE: usize = 2;
const WATCHERS_AFTER: usize = 1;
/// Departed nodes that one node watches at a time; others are found by the periodic exchange.
const MAX_WATCHED: usize = 32;

/// Departed members that this node contacts until they are back.
///
/// Answers the load of nodes that restart in turn while the platform is away: a restarted node may
/// know no live peer, and its servers are idle until one contacts it. A few watchers of each
/// departed node do so without agreement, which costs the same in a mesh of any size.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnWatch {
    watched: BTreeMap<NodeName, WatchEntry>,
}

#[derive(Clone, Copy, Debug)]
struct WatchEntry {
    next_contact: ClockInstant,
    end: ClockInstant,
}

impl ReturnWatch {
    /// Records that `departed` has left, as far as `own` knows.
    pub(crate) fn record_departure(
        &mut self,
        now: ClockInstant,
        departed: &NodeName,
        own: &NodeName,
        table: &MemberTable,
    ) {
        if self.watched.len() >= MAX_WATCHED || !is_watcher(departed, own, table) {
            return;
        }
        let entry = WatchEntry {
            next_contact: now.after(CONTACT_INTERVAL),
            end: now.after(WATCH_TIME),
        };
        self.watched.insert(departed.clone(), entry);
    }

    /// Returns the departed nodes to contact now, and forgets those that are back or overdue.
    pub(crate) fn take_due(&mut self, now: ClockInstant, table: &MemberTable) -> Vec<NodeName> {
        let is_gone = |node: &NodeName| {
            let row = table.get(node);
            row.is_some_and(|row| row.state == MemberState::Gone)
        };
        self.watched
            .retain(|node, entry| !entry.end.has_passed(now) && is_gone(node));
        let mut due = Vec::new();
        for (node, entry) in &mut self.watched {
            if entry.next_contact.has_passed(now) {
                entry.next_contact = now.after(CONTACT_INTERVAL);
                due.push(node.clone());
            }
        }
        due
    }

    /// Returns when the next contact is due, if any.
    pub(crate) fn next_contact(&self) -> Option<ClockInstant> {
        self.watched.values().map(|entry| entry.next_contact).min()
    }
}

/// Returns whether `own` is one of the watchers of `departed`: its nearest live neighbours in the
/// order of names, which is a ring.
fn is_watcher(departed: &NodeName, own: &NodeName, table: &MemberTable) -> bool {
    let live: Vec<_> = table.live().map(|row| &row.node).collect();
    let count = live.len();
    if count == 0 {
        return false;
    }
    let first_after = live.partition_point(|node| *node <= departed);
    let mut after = (0..WATCHERS_AFTER.min(count)).map(|step| (first_after + step) % count);
    let mut before =
        (1..=WATCHERS_BEFORE.min(count)).map(|step| (first_after + count - step) % count);
    after.any(|index| live[index] == own) || before.any(|index| live[index] == own)
}
