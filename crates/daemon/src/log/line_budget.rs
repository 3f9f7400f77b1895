use std::collections::BTreeMap;

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

use crate::log::EventName;

/// Length of the spans in which lines are counted.
const SPAN: TimeBudget = TimeBudget::from_secs(1);

/// Lines of one event that are written in a second; more are counted. Together with the number of
/// events this bounds a node to a few tens of kilobytes of log a second.
const LINES_PER_SPAN: u32 = 50;

/// Bound on the lines that a node writes about requests, for each event.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    events: BTreeMap<EventName, EventLines>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventLines {
    span_end: ClockInstant,
    written: u32,
    suppressed: u64,
}

impl LineBudget {
    /// Returns whether a line of `event` is to be written now; otherwise it is counted.
    pub fn takes(&mut self, now: ClockInstant, event: EventName) -> bool {
        let lines = self.events.entry(event).or_default();
        if lines.span_end.has_passed(now) {
            lines.span_end = now.after(SPAN);
            lines.written = 0;
        }
        if lines.written < LINES_PER_SPAN {
            lines.written += 1;
            return true;
        }
        lines.suppressed += 1;
        false
    }

    /// Returns how many lines of each event were not written since the last call.
    pub fn take_suppressed(&mut self) -> Vec<(EventName, u64)> {
        let events = self.events.iter_mut();
        events
            .filter(|(_, lines)| lines.suppressed > 0)
            .map(|(event, lines)| (*event, std::mem::take(&mut lines.suppressed)))
            .collect()
    }
}
