use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{clock::TimeBudget, error::MeshError};

const MILLIS_PER_UNIT: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Rate of requests, in requests per second.
///
/// The text form is a decimal number. Digits after the third decimal place are ignored.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Builds a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIS_PER_UNIT as f64
    }

    /// Returns the interval between two requests at this rate; `None` for a rate of zero.
    #[must_use]
    pub const fn interval(self) -> Option<TimeBudget> {
        match (MILLIS_PER_UNIT * MICROS_PER_SECOND).checked_div(self.0) {
            Some(micros) => Some(TimeBudget::from_micros(micros)),
            None => None,
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.0 / MILLIS_PER_UNIT, self.0 % MILLIS_PER_UNIT);
        if rest == 0 {
            return write!(f, "{whole}");
        }
        let rest = format!("{rest:03}");
        write!(f, "{whole}.{}", rest.trim_end_matches('0'))
    }
}

impl FromStr for RequestRate {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || MeshError::invalid(format!("rate {text:?} is not a decimal number"));
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let is_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
        let has_digits = !whole.is_empty() || !fraction.is_empty();
        if !has_digits || !is_digits(whole) || !is_digits(fraction) {
            return Err(error());
        }
        let whole: u64 = match whole {
            "" => 0,
            _ => whole.parse().map_err(|_| error())?,
        };
        let millis = fraction.bytes().chain(*b"000").take(3);
        let millis = millis.fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
        let total = whole
            .checked_mul(MILLIS_PER_UNIT)
            .and_then(|whole| whole.checked_add(millis));
        total.map(Self).ok_or_else(error)
    }
}
