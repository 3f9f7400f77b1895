use std::{fmt, ops::RangeInclusive, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{clock::TimeBudget, error::MeshError};

/// Slowdowns outside this range, in hundredths, are taken for errors of the report: no machine makes
/// its usual work four times as fast, and one that takes ten times as long is not merely shared.
const PLAUSIBLE_HUNDREDTHS: RangeInclusive<u16> = 25..=1_000;
/// Time in which the difference between a slowdown and its mean falls to 1/e: spells of 600 ms for
/// 15% of the time, so 1 / (1 / 600 ms + 1 / 3,400 ms).
const REVERSION_MICROS: f64 = 510_000.0;

/// How long work takes on a backend server's VM at the moment, in hundredths of its usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slowdown(u16);

impl Slowdown {
    /// Work takes as long as usual.
    pub const NONE: Self = Self(100);

    /// Builds a slowdown from hundredths of the usual time.
    #[must_use]
    pub const fn from_hundredths(hundredths: u16) -> Self {
        Self(hundredths)
    }

    /// Builds a slowdown from a factor on the usual time, bounded to plausible values.
    #[must_use]
    pub fn from_factor(factor: f64) -> Self {
        let (least, most) = (PLAUSIBLE_HUNDREDTHS.start(), PLAUSIBLE_HUNDREDTHS.end());
        Self((factor * 100.0).round() as u16)
            .max(Self(*least))
            .min(Self(*most))
    }

    /// Returns whether a server can really be this slow or fast.
    #[must_use]
    pub fn is_plausible(self) -> bool {
        PLAUSIBLE_HUNDREDTHS.contains(&self.0)
    }

    /// Returns the slowdown to expect when this one is `age` old.
    ///
    /// Spells end and begin, so the expectation returns to the mean.
    #[must_use]
    pub fn after(self, age: TimeBudget) -> Self {
        let kept = (-(age.as_micros() as f64) / REVERSION_MICROS).exp();
        Self::from_factor(1.0 + (self.factor() - 1.0) * kept)
    }

    /// Returns the share of what was known of a server's slowdown that is lost after `age`, as a
    /// share of the standard deviation of all slowdowns.
    #[must_use]
    pub fn lost_share(age: TimeBudget) -> f64 {
        let kept = (-(age.as_micros() as f64) / REVERSION_MICROS).exp();
        (1.0 - kept * kept).sqrt()
    }

    /// Returns the mean factor to expect over the next `micros` microseconds.
    #[must_use]
    pub fn mean_over(self, micros: f64) -> f64 {
        let ratio = micros / REVERSION_MICROS;
        if ratio <= f64::EPSILON {
            return self.factor();
        }
        1.0 + (self.factor() - 1.0) * (1.0 - (-ratio).exp()) / ratio
    }

    /// Returns the factor on the usual time.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::NONE
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Slowdown {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hundredths = text.parse().map(Self);
        hundredths
            .map_err(|_| MeshError::invalid(format!("slowdown {text:?} is not a whole number")))
    }
}
