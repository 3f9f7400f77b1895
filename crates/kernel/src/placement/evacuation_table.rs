use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, RowRevision},
    placement::EvacuationOrder,
};

/// Time after a return of the platform from an older copy in which operators write again what it has
/// lost.
const REWRITE_TIME: TimeBudget = TimeBudget::from_secs(10);

/// Latest known state of a data centre's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEntry {
    /// Order, or its end.
    pub order: EvacuationOrder,
    /// Instant at which this node first saw that the order is in force, or that it is not.
    pub seen_at: ClockInstant,
    /// Revision of the latest order, which may have been removed since.
    ordered_at: Option<RowRevision>,
    unconfirmed: Option<UnconfirmedState>,
}

/// State that the platform may show only because it has returned to an older copy.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnconfirmedState {
    order: EvacuationOrder,
    accept_at: ClockInstant,
}

impl EvacuationEntry {
    fn new(order: EvacuationOrder, now: ClockInstant) -> Self {
        Self {
            ordered_at: order.is_ordered.then_some(order.revision),
            order,
            seen_at: now,
            unconfirmed: None,
        }
    }

    /// Returns whether `order` is the first state of an era that contradicts the known one, and may
    /// be of before: the order is missing, or its removal.
    fn may_be_outdated(&self, order: &EvacuationOrder) -> bool {
        let is_of_later_era = order.revision.era() > self.order.revision.era();
        let is_same_row = self
            .ordered_at
            .is_some_and(|ordered_at| ordered_at.number() == order.revision.number());
        let contradicts = order.is_ordered != self.order.is_ordered;
        is_of_later_era && contradicts && (!order.is_ordered || is_same_row)
    }
}

/// Evacuations that a node knows of, from its own reads of the platform and from other nodes.
///
/// Load answered: an operator empties a data centre while nodes restart, the platform loses its
/// history, and nodes that read it at different times gossip with each other. The latest revision
/// of the platform decides, whatever the order of arrival.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    entries: BTreeMap<DataCentre, EvacuationEntry>,
}

impl EvacuationTable {
    /// Merges a state and returns whether an evacuation began or ended.
    pub fn merge(&mut self, order: EvacuationOrder, now: ClockInstant) -> bool {
        let Some(entry) = self.entries.get_mut(&order.data_centre) else {
            let is_ordered = order.is_ordered;
            let data_centre = order.data_centre.clone();
            let entry = EvacuationEntry::new(order, now);
            self.entries.insert(data_centre, entry);
            return is_ordered;
        };
        if !order.replaces(&entry.order) {
            return false;
        }
        let is_changed = order.is_ordered != entry.order.is_ordered;
        if is_changed {
            entry.seen_at = now;
        }
        if order.is_ordered {
            entry.ordered_at = Some(order.revision);
        }
        entry.order = order;
        entry.unconfirmed = None;
        is_changed
    }

    /// Merges a state that this node has read from the platform, and returns whether an evacuation
    /// began or ended.
    ///
    /// After a return of the platform from an older copy, the first state that contradicts the known
    /// one takes effect only if operators have not written the known one again for a while.
    pub fn merge_read(&mut self, order: EvacuationOrder, now: ClockInstant) -> bool {
        let entry = self.entries.get_mut(&order.data_centre);
        let Some(entry) = entry.filter(|entry| entry.may_be_outdated(&order)) else {
            return self.merge(order, now);
        };
        let accept_at = match &entry.unconfirmed {
            Some(unconfirmed) => unconfirmed.accept_at,
            None => now.after(REWRITE_TIME),
        };
        entry.unconfirmed = Some(UnconfirmedState { order, accept_at });
        false
    }

    /// Merges the states that operators have not contradicted in time, and returns the data centres
    /// whose evacuation began or ended.
    pub fn accept_due(&mut self, now: ClockInstant) -> Vec<DataCentre> {
        let unconfirmed = self.entries.values();
        let unconfirmed = unconfirmed.filter_map(|entry| entry.unconfirmed.as_ref());
        let due = unconfirmed.filter(|state| state.accept_at.has_passed(now));
        let due: Vec<_> = due.map(|state| state.order.clone()).collect();
        let mut changed = Vec::new();
        for order in due {
            let data_centre = order.data_centre.clone();
            if self.merge(order, now) {
                changed.push(data_centre);
            }
        }
        changed
    }

    /// Returns the known state of a data centre.
    #[must_use]
    pub fn order(&self, data_centre: &DataCentre) -> Option<&EvacuationOrder> {
        let entry = self.entries.get(data_centre)?;
        Some(&entry.order)
    }

    /// Returns the state that the replicated record of a data centre must be brought to, if it
    /// states something else than this table.
    ///
    /// A record is written only where the state changes, so that the reads of restarting nodes,
    /// which repeat it at higher revisions, spread nothing.
    #[must_use]
    pub fn record_to_write(
        &self,
        data_centre: &DataCentre,
        record: Option<&EvacuationOrder>,
    ) -> Option<&EvacuationOrder> {
        let known = &self.entries.get(data_centre)?.order;
        let is_recorded = record.is_some_and(|record| record.is_ordered);
        let is_later = record.is_none_or(|record| known.replaces(record));
        (is_later && known.is_ordered != is_recorded).then_some(known)
    }

    /// Returns whether nothing more may be sent to the servers of `data_centre`.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        let entry = self.entries.get(data_centre);
        entry.is_some_and(|entry| entry.order.is_ordered)
    }

    /// Returns the data centres to whose servers nothing more may be sent.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<DataCentre> {
        let ordered = self.entries.values().filter(|entry| entry.order.is_ordered);
        ordered
            .map(|entry| entry.order.data_centre.clone())
            .collect()
    }

    /// Returns every known state in the order of the data centres' names.
    pub fn iter(&self) -> impl Iterator<Item = &EvacuationEntry> {
        self.entries.values()
    }
}
