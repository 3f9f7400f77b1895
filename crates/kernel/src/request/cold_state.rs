use crate::clock::{ClockInstant, TimeBudget};

/// Shortest time between two health requests to a server in doubt. Each uses up time of a server
/// that may be cold, and of a VM with a tenth of a core.
const PROBE_INTERVAL: TimeBudget = TimeBudget::from_secs(1);

/// What the node beside a server knows of whether the server is cold.
///
/// Load answered: a server turns cold after its VM was silent, with a crash, and at the end of an
/// evacuation, which its node notices before the next heartbeat. From such an event on the server
/// counts as cold, until the response to a health request sent after the event says otherwise or
/// the service's cold time is over. Heartbeats state no time of sending and may be seconds late, so
/// they prolong the cold time but never end a doubt.
#[derive(Clone, Debug)]
pub struct ColdState {
    /// Latest event that may have turned the server cold.
    doubted_at: ClockInstant,
    is_doubted: bool,
    /// End of the cold time that the server states; `None` if it has stated nothing.
    told_until: Option<ClockInstant>,
    /// When the request was sent whose response was the latest statement.
    asked_at: ClockInstant,
    next_probe_at: ClockInstant,
}

impl ColdState {
    /// Creates the state of a server that its node does not know yet.
    #[must_use]
    pub fn new(now: ClockInstant) -> Self {
        Self {
            doubted_at: now,
            is_doubted: true,
            told_until: None,
            asked_at: ClockInstant::default(),
            next_probe_at: now,
        }
    }

    /// Records an event that may have turned the server cold.
    pub fn record_doubt(&mut self, now: ClockInstant) {
        self.doubted_at = now;
        self.is_doubted = true;
    }

    /// Records the remaining cold time that a heartbeat states.
    pub fn record_heartbeat(&mut self, now: ClockInstant, cold_left: TimeBudget) {
        let until = now.after(cold_left);
        self.told_until = Some(self.told_until.map_or(until, |told| told.max(until)));
    }

    /// Records the remaining cold time that the response to a request sent at `asked_at` states.
    ///
    /// Responses are ordered by when they were asked for; one asked for before the latest event
    /// says nothing of the time after it.
    pub fn record_response(
        &mut self,
        now: ClockInstant,
        asked_at: ClockInstant,
        cold_left: TimeBudget,
    ) {
        if asked_at < self.asked_at || (self.is_doubted && asked_at < self.doubted_at) {
            return;
        }
        self.asked_at = asked_at;
        self.is_doubted = false;
        self.told_until = Some(now.after(cold_left));
    }

    /// Returns the end of the time for which the server counts as cold, or `None` if it has stated
    /// nothing and its service declares no cold time.
    #[must_use]
    pub fn cold_until(&self, cold_time: Option<TimeBudget>) -> Option<ClockInstant> {
        let doubt_end = cold_time
            .filter(|_| self.is_doubted)
            .map(|time| self.doubted_at.after(time));
        self.told_until.max(doubt_end)
    }

    /// Returns whether a health request is due, and counts it as sent.
    pub fn take_probe(&mut self, now: ClockInstant, cold_time: TimeBudget) -> bool {
        let is_open = self.is_doubted && !self.doubted_at.after(cold_time).has_passed(now);
        if !is_open || !self.next_probe_at.has_passed(now) {
            return false;
        }
        self.next_probe_at = now.after(PROBE_INTERVAL);
        true
    }
}
