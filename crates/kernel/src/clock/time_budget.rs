use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error::MeshError;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: u64 = 60 * MICROS_PER_MINUTE;

/// A duration, in microseconds.
///
/// Durations are declared where no instant exists yet, such as a route's timeout or an interval in
/// the settings. A running request or lease stores its deadline as a
/// [`ClockInstant`](crate::clock::ClockInstant) instead.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::clock::TimeBudget;
///
/// let duration: TimeBudget = "250ms".parse()?;
/// assert_eq!(duration, TimeBudget::from_millis(250));
/// assert_eq!(duration.to_string(), "250ms");
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeBudget(u64);

impl TimeBudget {
    /// Zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Builds a duration from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a duration from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Builds a duration from seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the duration in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in whole milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the duration in seconds as a floating-point number.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Converts to the standard library's [`Duration`], for timers.
    #[must_use]
    pub const fn to_std(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns by how much this duration is shorter than `longer`, zero if it is not.
    #[must_use]
    pub const fn shortfall_from(self, longer: Self) -> Self {
        Self(longer.0.saturating_sub(self.0))
    }

    /// Returns whether the duration is zero.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for TimeBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0;
        let units = [
            (MICROS_PER_HOUR, "h"),
            (MICROS_PER_MINUTE, "m"),
            (MICROS_PER_SECOND, "s"),
            (MICROS_PER_MILLI, "ms"),
        ];
        for (unit, suffix) in units {
            if micros >= unit && micros.is_multiple_of(unit) {
                return write!(f, "{}{suffix}", micros / unit);
            }
        }
        write!(f, "{micros}us")
    }
}

impl FromStr for TimeBudget {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let suffix_start = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, suffix) = text.split_at(suffix_start);
        let unit = match suffix {
            "us" => 1,
            "ms" => MICROS_PER_MILLI,
            "s" => MICROS_PER_SECOND,
            "m" => MICROS_PER_MINUTE,
            "h" => MICROS_PER_HOUR,
            _ => return Err(invalid_duration(text)),
        };
        let count: u64 = digits.parse().map_err(|_| invalid_duration(text))?;
        count
            .checked_mul(unit)
            .map(Self)
            .ok_or_else(|| MeshError::invalid(format!("time {text:?} is too long")))
    }
}

fn invalid_duration(text: &str) -> MeshError {
    MeshError::invalid(format!(
        "time {text:?} is not a number with one of the units us, ms, s, m or h, such as \"250ms\""
    ))
}

impl Serialize for TimeBudget {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for TimeBudget {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = compact_str::CompactString::deserialize(deserializer)?;
            text.parse().map_err(de::Error::custom)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
