use std::collections::BTreeMap;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

use crate::log::EventName;

/// Length of a rate limit window.
const WINDOW: TimeBudget = TimeBudget::from_secs(1);

/// Lines of one event written per window; further lines are only counted. With the closed list of
/// events, this limits a node to a few tens of kilobytes of log per second.
const MAX_LINES_PER_WINDOW: u32 = 50;

/// Rate limit of log lines, per event.
#[derive(Clone, Debug, Default)]
pub struct LogLimiter {
    events: BTreeMap<EventName, EventWindow>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventWindow {
    window_end: ClockInstant,
    written: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns whether a line of `event` may be written now; otherwise counts it as suppressed.
    pub fn try_acquire(&mut self, now: ClockInstant, event: EventName) -> bool {
        let lines = self.events.entry(event).or_default();
        if lines.window_end.has_passed(now) {
            lines.window_end = now.after(WINDOW);
            lines.written = 0;
        }
        if lines.written < MAX_LINES_PER_WINDOW {
            lines.written += 1;
            return true;
        }
        lines.suppressed += 1;
        false
    }

    /// Returns the number of suppressed lines of each event since the last call.
    pub fn take_suppressed(&mut self) -> Vec<(EventName, u64)> {
        let events = self.events.iter_mut();
        events
            .filter(|(_, lines)| lines.suppressed > 0)
            .map(|(event, lines)| (*event, std::mem::take(&mut lines.suppressed)))
            .collect()
    }
}
