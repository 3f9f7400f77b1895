use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::BackendName,
    member::BackendRow,
};

#[derive(Clone, Debug)]
struct BackendLease {
    row: BackendRow,
    deadline: ClockInstant,
}

/// Leases of the backend servers that announce themselves to the node beside them.
///
/// A server that stops announcing itself is dropped when its lease lapses.
#[derive(Clone, Debug, Default)]
pub struct BackendLeases {
    leases: BTreeMap<BackendName, BackendLease>,
}

impl BackendLeases {
    /// Takes an announcement that holds until `lease` after `now`; returns whether the row changed.
    pub fn announce(&mut self, row: BackendRow, now: ClockInstant, lease: TimeBudget) -> bool {
        let renewed = BackendLease {
            row: row.clone(),
            deadline: now.after(lease),
        };
        let replaced = self.leases.insert(row.name.clone(), renewed);
        replaced.is_none_or(|replaced| replaced.row != row)
    }

    /// Ends a server's lease at once; returns whether it had one.
    pub fn withdraw(&mut self, name: &BackendName) -> bool {
        self.leases.remove(name).is_some()
    }

    /// Drops the servers whose lease has lapsed and returns their names.
    pub fn expire(&mut self, now: ClockInstant) -> Vec<BackendName> {
        let lapsed = |lease: &BackendLease| lease.deadline.has_passed(now);
        let names: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lapsed(lease))
            .map(|(name, _)| name.clone())
            .collect();
        self.leases.retain(|_, lease| !lapsed(lease));
        names
    }

    /// Returns the rows whose lease holds, in name order.
    #[must_use]
    pub fn rows(&self) -> Vec<BackendRow> {
        self.leases
            .values()
            .map(|lease| lease.row.clone())
            .collect()
    }
}
