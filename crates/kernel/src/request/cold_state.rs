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
/// they neither end a doubt nor what a health response stated.
#[derive(Clone, Debug)]
pub struct ColdState {
    /// Latest event that may have turned the server cold.
    doubted_at: ClockInstant,
    is_doubted: bool,
    /// End of the cold time by the latest heartbeat.
    heartbeat_until: Option<ClockInstant>,
    heartbeat_at: ClockInstant,
    /// End of the cold time by the latest health response.
    response_until: Option<ClockInstant>,
    /// When the request for that response was sent.
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
            heartbeat_until: None,
            heartbeat_at: ClockInstant::default(),
            response_until: None,
            asked_at: ClockInstant::default(),
            next_probe_at: now,
        }
    }

    /// Records an event that may have turned the server cold.
    pub fn record_doubt(&mut self, now: ClockInstant) {
        self.doubted_at = now;
        self.is_doubted = true;
    }

    /// Records the remaining cold time that a heartbeat states. Heartbeats are passed in the order
    /// in which they were sent, so the latest replaces what earlier ones stated.
    pub fn record_heartbeat(&mut self, now: ClockInstant, cold_left: TimeBudget) {
        self.heartbeat_until = Some(now.after(cold_left));
        self.heartbeat_at = now;
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
        self.response_until = Some(now.after(cold_left));
        if self.heartbeat_at < asked_at {
            self.heartbeat_until = None;
        }
    }

    /// Returns the end of the time for which the server counts as cold, or `None` if it has stated
    /// nothing and its service declares no cold time.
    #[must_use]
    pub fn cold_until(&self, cold_time: Option<TimeBudget>) -> Option<ClockInstant> {
        let doubt_end = cold_time
            .filter(|_| self.is_doubted)
            .map(|time| self.doubted_at.after(time));
        let told_until = self.heartbeat_until.max(self.response_until);
        told_until.max(doubt_end)
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
