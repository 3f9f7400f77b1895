use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{clock::TimeBudget, error::MeshError};

/// A point in time, in microseconds since the Unix epoch.
///
/// Deadlines and expirations are stored as instants. Callers read their clock and pass the instant
/// in; the kernel never reads a clock.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
///
/// let now = ClockInstant::from_micros(1_000);
/// let deadline = now.after(TimeBudget::from_millis(2));
/// assert!(!deadline.has_passed(now));
/// assert_eq!(deadline.remaining(now), TimeBudget::from_millis(2));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockInstant(u64);

impl ClockInstant {
    /// The latest representable instant, used for "never".
    pub const NEVER: Self = Self(u64::MAX);

    /// Builds an instant from microseconds since the Unix epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds an instant from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the Unix epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the instant `duration` later, saturating at [`ClockInstant::NEVER`].
    #[must_use]
    pub const fn after(self, duration: TimeBudget) -> Self {
        Self(self.0.saturating_add(duration.as_micros()))
    }

    /// Returns the instant `duration` earlier, saturating at the epoch.
    #[must_use]
    pub const fn before(self, duration: TimeBudget) -> Self {
        Self(self.0.saturating_sub(duration.as_micros()))
    }

    /// Returns whether this instant has been reached at `now`.
    #[must_use]
    pub const fn has_passed(self, now: Self) -> bool {
        self.0 <= now.0
    }

    /// Returns the time from `now` until this instant, zero once it has passed.
    #[must_use]
    pub const fn remaining(self, now: Self) -> TimeBudget {
        TimeBudget::from_micros(self.0.saturating_sub(now.0))
    }

    /// Returns the time from this instant until `now`, zero if the instant is in the future.
    #[must_use]
    pub const fn elapsed(self, now: Self) -> TimeBudget {
        TimeBudget::from_micros(now.0.saturating_sub(self.0))
    }
}

impl fmt::Display for ClockInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ClockInstant {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let micros = text.parse().map_err(|_| {
            MeshError::invalid(format!("instant {text:?} is not a number of microseconds"))
        })?;
        Ok(Self(micros))
    }
}
