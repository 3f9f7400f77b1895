use rand::Rng;

use crate::clock::{ClockInstant, TimeBudget};

const READ_TIMEOUT: TimeBudget = TimeBudget::from_secs(5);
const MAX_START_JITTER_MS: u64 = 200;

/// Reachability of the platform, as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// No read has ended yet.
    Unknown,
    /// The platform last answered at this instant.
    Reachable(ClockInstant),
    /// The platform has not answered since this instant.
    Unreachable(ClockInstant),
}

impl PlatformState {
    /// Returns the name used in `status`.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Reachable(_) => "reachable",
            Self::Unreachable(_) => "away",
        }
    }
}

/// Schedule of a node's reads of the platform's version row.
#[derive(Clone, Debug)]
pub struct PlatformPoll {
    state: PlatformState,
    next_read: ClockInstant,
    /// When the read in flight counts as lost.
    read_deadline: Option<ClockInstant>,
}

impl PlatformPoll {
    /// Creates a schedule whose first read follows a short random delay.
    #[must_use]
    pub fn new(now: ClockInstant, rng: &mut impl Rng) -> Self {
        let jitter = TimeBudget::from_millis(rng.random_range(0..=MAX_START_JITTER_MS));
        Self {
            state: PlatformState::Unknown,
            next_read: now.after(jitter),
            read_deadline: None,
        }
    }

    /// Returns the state of the platform.
    #[must_use]
    pub const fn state(&self) -> PlatformState {
        self.state
    }

    /// Returns whether a read is due and none is in flight.
    #[must_use]
    pub fn is_due(&self, now: ClockInstant) -> bool {
        let is_idle = self.read_deadline.is_none_or(|end| end.has_passed(now));
        is_idle && self.next_read.has_passed(now)
    }

    /// Schedules the next read after `interval` with 50% jitter.
    pub fn schedule_next(&mut self, now: ClockInstant, interval: TimeBudget, rng: &mut impl Rng) {
        let micros = interval.as_micros();
        let wait = rng.random_range(micros / 2..=micros + micros / 2);
        self.next_read = now.after(TimeBudget::from_micros(wait));
    }

    /// Records the start of a read.
    pub fn start_read(&mut self, now: ClockInstant) {
        self.read_deadline = Some(now.after(READ_TIMEOUT));
    }

    /// Records the result of a read.
    pub fn finish_read(&mut self, is_answered: bool, now: ClockInstant) {
        self.read_deadline = None;
        self.state = match (is_answered, self.state) {
            (true, _) => PlatformState::Reachable(now),
            (false, PlatformState::Unreachable(since)) => PlatformState::Unreachable(since),
            (false, _) => PlatformState::Unreachable(now),
        };
    }
}
