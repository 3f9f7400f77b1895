use rand::Rng;

use crate::clock::{ClockInstant, TimeBudget};

const READ_TIMEOUT: TimeBudget = TimeBudget::from_secs(5);
const MAX_START_JITTER_MS: u64 = 200;

/// What a node knows of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// The node has not asked yet.
    Unknown,
    /// The platform answered the latest read, at this instant.
    Reachable(ClockInstant),
    /// The platform has not answered since this instant.
    Away(ClockInstant),
}

impl PlatformState {
    /// Returns the name that appears in `status`.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Reachable(_) => "reachable",
            Self::Away(_) => "away",
        }
    }
}

/// Schedule of a node's reads of the platform's version row.
#[derive(Clone, Debug)]
pub struct PlatformPoll {
    state: PlatformState,
    next: ClockInstant,
    /// When the read that is under way counts as lost.
    read_deadline: Option<ClockInstant>,
}

impl PlatformPoll {
    /// Builds a schedule whose first read comes after a short random wait.
    #[must_use]
    pub fn new(now: ClockInstant, rng: &mut impl Rng) -> Self {
        let jitter = TimeBudget::from_millis(rng.random_range(0..=MAX_START_JITTER_MS));
        Self {
            state: PlatformState::Unknown,
            next: now.after(jitter),
            read_deadline: None,
        }
    }

    /// Returns what is known of the platform.
    #[must_use]
    pub const fn state(&self) -> PlatformState {
        self.state
    }

    /// Returns whether a read is due and none is under way.
    #[must_use]
    pub fn is_due(&self, now: ClockInstant) -> bool {
        let is_idle = self.read_deadline.is_none_or(|end| end.has_passed(now));
        is_idle && self.next.has_passed(now)
    }

    /// Puts the next read off by about `interval`, with jitter.
    pub fn schedule_next(&mut self, now: ClockInstant, interval: TimeBudget, rng: &mut impl Rng) {
        let micros = interval.as_micros();
        let wait = rng.random_range(micros / 2..=micros + micros / 2);
        self.next = now.after(TimeBudget::from_micros(wait));
    }

    /// Notes that a read starts.
    pub fn start_read(&mut self, now: ClockInstant) {
        self.read_deadline = Some(now.after(READ_TIMEOUT));
    }

    /// Notes how the read ended.
    pub fn finish_read(&mut self, is_answered: bool, now: ClockInstant) {
        self.read_deadline = None;
        self.state = match (is_answered, self.state) {
            (true, _) => PlatformState::Reachable(now),
            (false, PlatformState::Away(since)) => PlatformState::Away(since),
            (false, _) => PlatformState::Away(now),
        };
    }
}
