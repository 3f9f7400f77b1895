use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::BackendName,
    member::BackendRow,
    plugin::LoadReport,
    request::ReportFilter,
};

use crate::backends::BackendAnnouncement;

/// Time for which an announcement holds.
pub const LEASE_BUDGET: TimeBudget = TimeBudget::from_secs(3);

/// A backend server beside this node, and the end of its lease.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// What the server announced.
    pub announcement: BackendAnnouncement,
    /// Instant at which the announcement lapses.
    pub lease_deadline: ClockInstant,
    /// Health that the server reports, steadied.
    pub filter: ReportFilter,
    /// Latest report that could be read.
    pub report: Option<LoadReport>,
}

/// The backend servers beside this node, by name.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    entries: BTreeMap<BackendName, BackendEntry>,
}

impl BackendTable {
    /// Takes in an announcement and returns whether it changed what other nodes need to know.
    pub fn announce(
        &mut self,
        now: ClockInstant,
        name: BackendName,
        announcement: BackendAnnouncement,
    ) -> bool {
        let lease_deadline = now.after(LEASE_BUDGET);
        if let Some(entry) = self.entries.get_mut(&name) {
            let is_changed = entry.announcement != announcement;
            entry.announcement = announcement;
            entry.lease_deadline = lease_deadline;
            return is_changed;
        }
        let entry = BackendEntry {
            announcement,
            lease_deadline,
            filter: ReportFilter::default(),
            report: None,
        };
        self.entries.insert(name, entry);
        true
    }

    /// Takes in the server's report, or that there is none to be read, and returns whether it
    /// changed what other nodes need to know.
    pub fn take_report(&mut self, name: &BackendName, report: Option<LoadReport>) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        entry.report = report.or(entry.report);
        entry.filter.take(report.map(|report| report.is_healthy))
    }

    /// Removes a server and returns whether it was there.
    pub fn remove(&mut self, name: &BackendName) -> bool {
        self.entries.remove(name).is_some()
    }

    /// Removes the servers whose lease has lapsed and returns their names.
    pub fn expire(&mut self, now: ClockInstant) -> Vec<BackendName> {
        let lapsed: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease_deadline.has_passed(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &lapsed {
            self.entries.remove(name);
        }
        lapsed
    }

    /// Returns the server `name`.
    #[must_use]
    pub fn get(&self, name: &BackendName) -> Option<&BackendEntry> {
        self.entries.get(name)
    }

    /// Returns every server in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendName, &BackendEntry)> {
        self.entries.iter()
    }

    /// Returns what other nodes need to know of the servers.
    #[must_use]
    pub fn rows(&self) -> Vec<BackendRow> {
        self.entries
            .iter()
            .map(|(name, entry)| BackendRow {
                name: name.clone(),
                service: entry.announcement.service.clone(),
                version: entry.announcement.version.clone(),
                slots: entry.announcement.slots,
                state: entry.announcement.state,
                is_reported_healthy: entry.filter.is_healthy(),
            })
            .collect()
    }
}
