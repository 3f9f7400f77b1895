use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::BackendName,
    member::{BackendHeartbeat, BackendIncarnation, BackendMessage, BackendRow},
    plugin::LoadReport,
    request::{HealthDebouncer, TimePublisher},
};

use crate::backends::BackendAnnouncement;

/// Time for which an announcement holds.
pub const LEASE_DURATION: TimeBudget = TimeBudget::from_secs(3);

/// Servers that have left and are remembered; a VM has one or a few at a time.
const MAX_DEPARTED: usize = 64;

/// A backend server beside this node, and the end of its lease.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// What the server announced.
    pub announcement: BackendAnnouncement,
    /// Instant at which the announcement lapses.
    pub lease_deadline: ClockInstant,
    /// Health that the server reports, steadied.
    pub health: HealthDebouncer,
    /// Latest report that could be read.
    pub report: Option<LoadReport>,
    /// What the other nodes are told of the time that its requests take.
    pub time_publisher: TimePublisher,
    /// Instant until which the server is slow after its start, where it tells.
    pub cold_until: Option<ClockInstant>,
    /// Run of the server, and the number of its latest heartbeat.
    latest_heartbeat: (BackendIncarnation, u64),
}

/// The backend servers beside this node, by name.
#[derive(Clone, Debug)]
pub struct BackendTable {
    lease: TimeBudget,
    entries: BTreeMap<BackendName, BackendEntry>,
    /// Latest runs of servers that have left, so that a late heartbeat brings none of them back.
    departed: BTreeMap<BackendName, BackendIncarnation>,
}

impl Default for BackendTable {
    fn default() -> Self {
        Self::new(LEASE_DURATION)
    }
}

impl BackendTable {
    /// Builds an empty table whose announcements hold for `lease`.
    #[must_use]
    pub const fn new(lease: TimeBudget) -> Self {
        Self {
            lease,
            entries: BTreeMap::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Takes in what a server tells in its own order and returns whether it changed what other
    /// nodes need to know.
    ///
    /// News from before the latest that is held change nothing: a lower sequence within a run,
    /// an earlier run, or an earlier run of another server at the same address.
    pub fn handle_message(&mut self, now: ClockInstant, news: BackendMessage) -> bool {
        match news {
            BackendMessage::Heartbeat(heartbeat) => self.handle_heartbeat(now, heartbeat),
            BackendMessage::Leaving { name, incarnation } => {
                self.handle_leaving(&name, incarnation)
            }
        }
    }

    fn handle_heartbeat(&mut self, now: ClockInstant, heartbeat: BackendHeartbeat) -> bool {
        let order = (heartbeat.incarnation, heartbeat.sequence);
        let left = self.departed.get(&heartbeat.name);
        let has_left = left.is_some_and(|left| heartbeat.incarnation <= *left);
        let address = heartbeat.announcement.address;
        let is_late = |(name, entry): (&BackendName, &BackendEntry)| {
            let is_same = *name == heartbeat.name;
            let is_beside = !is_same && entry.announcement.address == address;
            (is_same && order < entry.latest_heartbeat)
                || (is_beside && order.0 < entry.latest_heartbeat.0)
        };
        if has_left || self.entries.iter().any(is_late) {
            return false;
        }
        let replaced: Vec<_> = self
            .entries
            .iter()
            .filter(|(name, entry)| {
                **name != heartbeat.name && entry.announcement.address == address
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &replaced {
            self.entries.remove(name);
        }
        let name = heartbeat.name.clone();
        let mut is_changed = self.announce(now, heartbeat.name, heartbeat.announcement);
        if let Some(entry) = self.entries.get_mut(&name) {
            // Later heartbeats of a run tell the same instant, a little off.
            if entry.cold_until.is_none() || entry.latest_heartbeat.0 != order.0 {
                entry.cold_until = Some(now.after(heartbeat.warm_up));
                is_changed = true;
            }
            entry.latest_heartbeat = order;
        }
        is_changed || !replaced.is_empty()
    }

    fn handle_leaving(&mut self, name: &BackendName, lifetime: Option<BackendIncarnation>) -> bool {
        let held = self.entries.get(name).map(|entry| entry.latest_heartbeat.0);
        if held.zip(lifetime).is_some_and(|(held, left)| left < held) {
            return false;
        }
        if let Some(lifetime) = lifetime.or(held) {
            self.departed.insert(name.clone(), lifetime);
        }
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_first();
        }
        self.entries.remove(name).is_some()
    }

    /// Takes in an announcement and returns whether it changed what other nodes need to know.
    pub fn announce(
        &mut self,
        now: ClockInstant,
        name: BackendName,
        announcement: BackendAnnouncement,
    ) -> bool {
        let lease_deadline = now.after(self.lease);
        if let Some(entry) = self.entries.get_mut(&name) {
            let is_changed = entry.announcement != announcement;
            entry.announcement = announcement;
            entry.lease_deadline = lease_deadline;
            return is_changed;
        }
        let entry = BackendEntry {
            announcement,
            lease_deadline,
            health: HealthDebouncer::default(),
            report: None,
            time_publisher: TimePublisher::default(),
            cold_until: None,
            latest_heartbeat: (BackendIncarnation::default(), 0),
        };
        self.entries.insert(name, entry);
        true
    }

    /// Takes in the server's report, or that there is none to be read, and returns whether it
    /// changed what other nodes need to know.
    pub fn record_report(&mut self, name: &BackendName, report: Option<LoadReport>) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        entry.report = report.or(entry.report);
        entry.health.observe(report.map(|report| report.is_healthy))
    }

    /// Takes in how long a server's requests take, by `update`, and returns whether that changed
    /// what other nodes need to know.
    pub fn update_times(
        &mut self,
        name: &BackendName,
        update: impl FnOnce(&mut TimePublisher) -> bool,
    ) -> bool {
        let entry = self.entries.get_mut(name);
        entry.is_some_and(|entry| update(&mut entry.time_publisher))
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
                is_reported_healthy: entry.health.is_healthy(),
                cold_until: entry.cold_until,
                times: entry.time_publisher.published().clone(),
            })
            .collect()
    }
}
