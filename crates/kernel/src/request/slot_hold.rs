use crate::clock::ClockInstant;

/// Slots of a server that requests of the host's predecessor may still use.
///
/// The load it answers: a server that does not answer when it is full, beside a host that has just
/// restarted. The server goes on with the requests of the previous host process, which the new one
/// does not know of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotHold {
    /// Instant from which the predecessor's requests are taken for ended.
    until: ClockInstant,
    slots: u32,
}

impl SlotHold {
    /// Holds `slots` slots until `until`, or until the server states how many requests it runs.
    pub(crate) const fn new(slots: u32, until: ClockInstant) -> Self {
        Self { until, slots }
    }

    /// Records a response that states how many requests the server runs, of which `own` are this
    /// host's. A server that does not state it ends the hold.
    pub(crate) fn record_running(&mut self, running: Option<u32>, own: u32) {
        let others = running.map_or(0, |running| running.saturating_sub(own));
        self.slots = self.slots.min(others);
    }

    /// Returns the number of held slots.
    pub(crate) const fn slots(&self, now: ClockInstant) -> u32 {
        if self.until.has_passed(now) {
            return 0;
        }
        self.slots
    }

    /// Returns the instant from which no slot is held.
    pub(crate) const fn end(&self) -> ClockInstant {
        self.until
    }
}
