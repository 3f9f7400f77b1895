use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::MeshError;

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
