use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::WarmUpRule,
    ids::{BackendName, ServiceName},
    member::{
        BackendHeartbeat, BackendIncarnation, BackendMessage, BackendRow, BackendState,
        DepartureNotice, DepartureTable, StatedCold, StatedLimit,
    },
    plugin::LoadReport,
    request::{ColdLimit, ColdState, HealthDebouncer, LimitPublisher, TimePublisher},
};

use crate::backends::BackendAnnouncement;

/// Default lease of an announcement.
pub const LEASE_DURATION: TimeBudget = TimeBudget::from_secs(3);

/// Deviation of a cold time that is not published: heartbeats repeat the same instant with a small
/// deviation.
const COLD_TOLERANCE: TimeBudget = TimeBudget::from_millis(250);
/// Time without a heartbeat after which the server's VM may have been silent and the server may
/// be cold. Heartbeats come every 1.5 s.
const HEARTBEAT_SILENCE: TimeBudget = TimeBudget::from_millis(2_500);

/// Largest difference of the clocks of a server and its node. A later start is no statement of a
/// server: it would make all later ones look outdated.
const MAX_CLOCK_DIFFERENCE: TimeBudget = TimeBudget::from_secs(600);

/// Maximum number of servers whose heartbeats a held table keeps; a VM has one or a few servers.
const MAX_HELD: usize = 64;

/// Backend server on this node and the end of its lease.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// Latest announcement of the server.
    pub announcement: BackendAnnouncement,
    /// Instant at which the announcement expires.
    pub lease_deadline: ClockInstant,
    /// Debounced health reported by the server.
    pub health: HealthDebouncer,
    /// Latest readable load report.
    pub report: Option<LoadReport>,
    /// Publisher of the server's request execution times to other nodes.
    pub time_publisher: TimePublisher,
    /// Published end of the time for which the server counts as cold, if that is known.
    pub cold_until: Option<ClockInstant>,
    /// What is known of whether the server is cold.
    cold_state: ColdState,
    heartbeat_at: ClockInstant,
    /// When this node learned of the server.
    known_from: ClockInstant,
    /// Publisher of the server's rate limit to other nodes.
    pub limit_publisher: LimitPublisher,
    /// Whether this incarnation stated its departure in a response.
    has_departed: bool,
    /// Incarnation and sequence number of the latest heartbeat.
    latest_heartbeat: (BackendIncarnation, u64),
}

impl BackendEntry {
    /// Returns the server's lifecycle state. A stated departure overrides later announcements.
    #[must_use]
    pub const fn state(&self) -> BackendState {
        match self.has_departed {
            true => BackendState::Draining,
            false => self.announcement.state,
        }
    }

    /// Returns the server's incarnation; the default if the server does not state it.
    #[must_use]
    pub const fn incarnation(&self) -> BackendIncarnation {
        self.latest_heartbeat.0
    }
}

/// Backend servers on this node, by name.
#[derive(Clone, Debug)]
pub struct BackendTable {
    lease: TimeBudget,
    /// Limits of cold servers by service.
    warm_up_rules: BTreeMap<ServiceName, WarmUpRule>,
    entries: BTreeMap<BackendName, BackendEntry>,
    /// Departed servers of the mesh, so that a late heartbeat does not restore one of them.
    departed: DepartureTable,
    /// Latest heartbeats of each server while the table is held.
    held: Option<BTreeMap<BackendName, BackendHeartbeat>>,
}

impl Default for BackendTable {
    fn default() -> Self {
        Self::new(LEASE_DURATION)
    }
}

impl BackendTable {
    /// Creates an empty table whose announcements expire after `lease`.
    #[must_use]
    pub const fn new(lease: TimeBudget) -> Self {
        Self {
            lease,
            warm_up_rules: BTreeMap::new(),
            entries: BTreeMap::new(),
            departed: DepartureTable::new(),
            held: None,
        }
    }

    /// Creates an empty table that keeps heartbeats without effect until [`release`](Self::release).
    #[must_use]
    pub fn held(lease: TimeBudget) -> Self {
        Self {
            held: Some(BTreeMap::new()),
            ..Self::new(lease)
        }
    }

    /// Applies the heartbeats that were kept, once the departures that other nodes know are recorded,
    /// and returns whether the data published to other nodes changed.
    pub fn release(&mut self, now: ClockInstant) -> bool {
        let held = self.held.take().unwrap_or_default();
        let mut is_changed = false;
        for heartbeat in held.into_values() {
            is_changed |= self.handle_heartbeat(now, heartbeat);
        }
        is_changed
    }

    /// Returns whether heartbeats are kept without effect.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Applies a message of a server and returns whether the data published to other nodes changed.
    ///
    /// Outdated messages are ignored: a lower sequence number within an incarnation, an earlier
    /// incarnation, or an incarnation earlier than that of another server at the same address. So
    /// are those of an incarnation that has not started yet.
    pub fn handle_message(&mut self, now: ClockInstant, message: BackendMessage) -> bool {
        if !has_plausible_start(now, &message) {
            return false;
        }
        match message {
            BackendMessage::Heartbeat(heartbeat) => self.handle_heartbeat(now, heartbeat),
            BackendMessage::Leaving { name, incarnation } => {
                self.handle_leaving(now, &name, incarnation)
            }
        }
    }

    fn handle_heartbeat(&mut self, now: ClockInstant, heartbeat: BackendHeartbeat) -> bool {
        let heartbeat_order = (heartbeat.incarnation, heartbeat.sequence);
        let notice = self.departed.get(&heartbeat.name);
        let has_departed =
            notice.is_some_and(|notice| notice.voids(heartbeat.incarnation, heartbeat.sequence));
        let address = heartbeat.announcement.address;
        let is_outdated = |(name, entry): (&BackendName, &BackendEntry)| {
            let is_same_server = *name == heartbeat.name;
            let shares_address = !is_same_server && entry.announcement.address == address;
            (is_same_server && heartbeat_order < entry.latest_heartbeat)
                || (shares_address && heartbeat_order.0 < entry.latest_heartbeat.0)
        };
        if has_departed || self.entries.iter().any(is_outdated) {
            return false;
        }
        if heartbeat.announcement.state == BackendState::Draining {
            self.note_draining(now, &heartbeat);
        }
        if let Some(held) = &mut self.held {
            let latest = held.get(&heartbeat.name);
            let is_later =
                latest.is_none_or(|latest| (latest.incarnation, latest.sequence) < heartbeat_order);
            if is_later && (held.len() < MAX_HELD || latest.is_some()) {
                held.insert(heartbeat.name.clone(), heartbeat);
            }
            return false;
        }
        let replaced_names: Vec<_> = self
            .entries
            .iter()
            .filter(|(name, entry)| {
                **name != heartbeat.name && entry.announcement.address == address
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &replaced_names {
            self.entries.remove(name);
        }
        let name = heartbeat.name.clone();
        let mut is_changed = self.announce(now, heartbeat.name, heartbeat.announcement);
        if let Some(entry) = self.entries.get_mut(&name) {
            let is_new_incarnation = entry.incarnation() != heartbeat_order.0;
            if is_new_incarnation {
                is_changed |= entry.has_departed;
                entry.has_departed = false;
            }
            if is_new_incarnation {
                entry.cold_state = ColdState::new(now);
            } else if entry.heartbeat_at.after(HEARTBEAT_SILENCE).has_passed(now) {
                entry.cold_state.record_doubt(now);
            }
            if let StatedCold::Left(cold_left) = heartbeat.cold_left {
                entry.cold_state.record_heartbeat(now, cold_left);
            }
            entry.heartbeat_at = now;
            entry.latest_heartbeat = heartbeat_order;
        }
        is_changed |= self.publish_cold(now, &name);
        is_changed || !replaced_names.is_empty()
    }

    fn handle_leaving(
        &mut self,
        now: ClockInstant,
        name: &BackendName,
        incarnation: Option<BackendIncarnation>,
    ) -> bool {
        let current_incarnation = self.entries.get(name).map(|entry| entry.latest_heartbeat.0);
        if current_incarnation
            .zip(incarnation)
            .is_some_and(|(current, departed)| departed < current)
        {
            return false;
        }
        // A node that has just started may not know the server. Every incarnation of it that has
        // started by now has then departed.
        let departed = incarnation
            .or(current_incarnation)
            .unwrap_or(BackendIncarnation { started_at: now });
        let notice = DepartureNotice::of_gone(departed, now);
        self.departed.record(name, notice);
        self.entries.remove(name).is_some()
    }

    /// Records the first draining heartbeat of an incarnation as its departure.
    fn note_draining(&mut self, now: ClockInstant, heartbeat: &BackendHeartbeat) {
        let known = self.departed.get(&heartbeat.name);
        if known.is_none_or(|known| known.incarnation() < heartbeat.incarnation) {
            let sequence = heartbeat.sequence;
            let notice = DepartureNotice::of_draining(heartbeat.incarnation, sequence, now);
            self.departed.record(&heartbeat.name, notice);
        }
    }

    /// Returns the latest known departure of the server `name`.
    #[must_use]
    pub fn departure(&self, name: &BackendName) -> Option<&DepartureNotice> {
        self.departed.get(name)
    }

    /// Records a departure that another node, or this one before a restart, has acknowledged, and
    /// returns whether the data published to other nodes changed.
    pub fn record_notice(&mut self, name: &BackendName, notice: DepartureNotice) -> bool {
        if !self.departed.record(name, notice) {
            return false;
        }
        let is_void = |entry: &BackendEntry| {
            let (incarnation, sequence) = entry.latest_heartbeat;
            notice.voids(incarnation, sequence)
        };
        let Some(entry) = self.entries.get_mut(name).filter(|entry| is_void(entry)) else {
            return false;
        };
        if notice.is_gone() {
            return self.entries.remove(name).is_some();
        }
        let state = std::mem::replace(&mut entry.announcement.state, BackendState::Draining);
        state != BackendState::Draining
    }

    /// Applies an announcement and returns whether the data published to other nodes changed.
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
            cold_state: ColdState::new(now),
            heartbeat_at: now,
            known_from: now,
            limit_publisher: LimitPublisher::default(),
            has_departed: false,
            latest_heartbeat: (BackendIncarnation::default(), 0),
        };
        self.entries.insert(name, entry);
        true
    }

    /// Records a server's load report, or `None` if it was unreadable, and returns whether the data
    /// published to other nodes changed.
    pub fn record_report(&mut self, name: &BackendName, report: Option<LoadReport>) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        entry.report = report.or(entry.report);
        entry.health.observe(report.map(|report| report.is_healthy))
    }

    /// Applies `update` to a server's execution times and returns whether the data published to
    /// other nodes changed.
    pub fn update_times(
        &mut self,
        name: &BackendName,
        update: impl FnOnce(&mut TimePublisher) -> bool,
    ) -> bool {
        let entry = self.entries.get_mut(name);
        entry.is_some_and(|entry| update(&mut entry.time_publisher))
    }

    /// Records the rate limit that a server states and returns whether the data published to other
    /// nodes changed.
    pub fn record_limit(
        &mut self,
        now: ClockInstant,
        name: &BackendName,
        limit: StatedLimit,
    ) -> bool {
        let entry = self.entries.get_mut(name);
        entry.is_some_and(|entry| entry.limit_publisher.update(now, limit))
    }

    /// Records that an incarnation of a server stated its departure, and returns whether the data
    /// published to other nodes changed.
    pub fn record_departure(
        &mut self,
        name: &BackendName,
        incarnation: BackendIncarnation,
    ) -> bool {
        let entry = self.entries.get_mut(name);
        let entry = entry.filter(|entry| entry.incarnation() == incarnation);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.has_departed, true))
    }

    /// Replaces the limits of cold servers by service.
    pub fn set_warm_up_rules(&mut self, rules: BTreeMap<ServiceName, WarmUpRule>) {
        self.warm_up_rules = rules;
    }

    /// Returns the limit of a server while it is cold, if its service declares one.
    #[must_use]
    pub fn cold_limit(&self, name: &BackendName) -> Option<ColdLimit> {
        let entry = self.entries.get(name)?;
        let rule = self.warm_up_rules.get(&entry.announcement.service)?;
        let cold_until = entry.cold_state.cold_until(Some(rule.time));
        Some(ColdLimit {
            rate: rule.rate,
            cold_until: cold_until.unwrap_or_default(),
            known_from: entry.known_from,
        })
    }

    /// Records an event that may have turned a server cold, and returns whether the data published
    /// to other nodes changed.
    pub fn record_doubt(&mut self, now: ClockInstant, name: &BackendName) -> bool {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.cold_state.record_doubt(now);
        }
        self.publish_cold(now, name)
    }

    /// Records the remaining cold time in the response to a request sent at `asked_at`, and returns
    /// whether the data published to other nodes changed.
    pub fn record_cold(
        &mut self,
        now: ClockInstant,
        name: &BackendName,
        asked_at: ClockInstant,
        cold_left: TimeBudget,
    ) -> bool {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.cold_state.record_response(now, asked_at, cold_left);
        }
        self.publish_cold(now, name)
    }

    /// Returns the servers to which a health request is due, and counts it as sent.
    pub fn take_probes(&mut self, now: ClockInstant) -> Vec<(BackendName, BackendAnnouncement)> {
        let rules = &self.warm_up_rules;
        let due = self.entries.iter_mut().filter_map(|(name, entry)| {
            let rule = rules.get(&entry.announcement.service)?;
            let is_due = entry.cold_state.take_probe(now, rule.time);
            is_due.then(|| (name.clone(), entry.announcement.clone()))
        });
        due.collect()
    }

    /// Updates the published end of a server's cold time and returns whether it changed.
    fn publish_cold(&mut self, now: ClockInstant, name: &BackendName) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        let rule = self.warm_up_rules.get(&entry.announcement.service);
        let cold_until = entry.cold_state.cold_until(rule.map(|rule| rule.time));
        let is_same = match (entry.cold_until, cold_until) {
            (Some(published), Some(known)) => {
                let have_passed = published.has_passed(now) && known.has_passed(now);
                let deviation = published.remaining(known).max(known.remaining(published));
                have_passed || deviation <= COLD_TOLERANCE
            }
            (None, None) => true,
            _ => false,
        };
        if !is_same {
            entry.cold_until = cold_until;
        }
        !is_same
    }

    /// Removes a server and returns whether it was present.
    pub fn remove(&mut self, name: &BackendName) -> bool {
        self.entries.remove(name).is_some()
    }

    /// Removes the servers whose lease has expired and returns their names.
    pub fn expire(&mut self, now: ClockInstant) -> Vec<BackendName> {
        self.departed.expire(now);
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease_deadline.has_passed(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.entries.remove(name);
        }
        expired
    }

    /// Returns the entry of the server `name`.
    #[must_use]
    pub fn get(&self, name: &BackendName) -> Option<&BackendEntry> {
        self.entries.get(name)
    }

    /// Returns all servers in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendName, &BackendEntry)> {
        self.entries.iter()
    }

    /// Returns the rows published to other nodes.
    #[must_use]
    pub fn rows(&self) -> Vec<BackendRow> {
        self.entries
            .iter()
            .map(|(name, entry)| BackendRow {
                name: name.clone(),
                incarnation: entry.incarnation(),
                service: entry.announcement.service.clone(),
                version: entry.announcement.version.clone(),
                slots: entry.announcement.slots,
                state: entry.state(),
                is_reported_healthy: entry.health.is_healthy(),
                limit: entry.limit_publisher.published(),
                cold_until: entry.cold_until,
                times: entry.time_publisher.published().clone(),
            })
            .collect()
    }
}

/// Returns whether the server's incarnation has started, as far as the clocks tell.
pub(crate) fn has_plausible_start(now: ClockInstant, message: &BackendMessage) -> bool {
    let incarnation = match message {
        BackendMessage::Heartbeat(heartbeat) => Some(heartbeat.incarnation),
        BackendMessage::Leaving { incarnation, .. } => *incarnation,
    };
    incarnation.is_none_or(|incarnation| incarnation.started_at <= now.after(MAX_CLOCK_DIFFERENCE))
}
