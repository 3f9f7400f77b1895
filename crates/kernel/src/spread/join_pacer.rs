use crate::clock::TimeBudget;

/// Interval of exchanges while a joining node learns of new members.
const MIN_INTERVAL: TimeBudget = TimeBudget::from_millis(100);
/// Longest interval while a node is joining. A node that found no peer tries again within it.
const MAX_INTERVAL: TimeBudget = TimeBudget::from_millis(500);

/// Interval between the exchanges of a node that is joining the mesh.
///
/// A node exchanges frequently as long as that makes new members known to it. Otherwise the
/// interval doubles, so that a fleet that waits for its first configuration is quiet.
#[derive(Clone, Debug)]
pub struct JoinPacer {
    interval: TimeBudget,
    /// Number of members that were known at the latest exchange.
    known_members: usize,
}

impl Default for JoinPacer {
    fn default() -> Self {
        Self {
            interval: MIN_INTERVAL,
            known_members: 0,
        }
    }
}

impl JoinPacer {
    /// Returns the interval until the next exchange, given the number of members known now.
    pub fn next_interval(&mut self, known_members: usize) -> TimeBudget {
        self.interval = if known_members > self.known_members {
            MIN_INTERVAL
        } else {
            let doubled = TimeBudget::from_micros(self.interval.as_micros() * 2);
            doubled.min(MAX_INTERVAL)
        };
        self.known_members = known_members;
        self.interval
    }
}
