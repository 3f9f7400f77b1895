use std::collections::{BTreeMap, BTreeSet};

use crate::{clock::ClockInstant, ids::DataCentre, placement::EvacuationOrder};

/// Latest known state of a data centre's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEntry {
    /// Order, or its end.
    pub order: EvacuationOrder,
    /// Instant at which this node first saw that the order is in force, or that it is not.
    pub seen_at: ClockInstant,
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
            let entry = EvacuationEntry {
                order,
                seen_at: now,
            };
            self.entries.insert(entry.order.data_centre.clone(), entry);
            return is_ordered;
        };
        if !order.replaces(&entry.order) {
            return false;
        }
        let is_changed = order.is_ordered != entry.order.is_ordered;
        if is_changed {
            entry.seen_at = now;
        }
        entry.order = order;
        is_changed
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
