use std::{fmt, str::FromStr};

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error::MeshError;

const NAMES: [&str; 3] = ["urgent", "normal", "deferrable"];

/// Priority of a route's requests under load: lower ranks are served first and shed last.
///
/// The first three ranks have names, which configuration files and logs show instead of the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority(u8);

impl RequestPriority {
    /// Served first and shed last.
    pub const URGENT: Self = Self(0);
    /// Served after urgent requests.
    pub const NORMAL: Self = Self(1);
    /// Served last and shed first.
    pub const DEFERRABLE: Self = Self(2);

    /// Every priority that has a name, most urgent first.
    pub const ALL: [Self; 3] = [Self::URGENT, Self::NORMAL, Self::DEFERRABLE];

    /// Builds a priority from its rank; zero is the most urgent.
    #[must_use]
    pub const fn new(rank: u8) -> Self {
        Self(rank)
    }

    /// Returns the rank.
    #[must_use]
    pub const fn rank(self) -> u8 {
        self.0
    }

    /// Returns the name that configuration files, logs and metrics show, if the rank has one.
    #[must_use]
    pub fn name(self) -> Option<&'static str> {
        NAMES.get(usize::from(self.0)).copied()
    }
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.name() {
            Some(name) => f.write_str(name),
            None => fmt::Display::fmt(&self.0, f),
        }
    }
}

impl FromStr for RequestPriority {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL
            .into_iter()
            .find(|priority| priority.name() == Some(text));
        named
            .or_else(|| text.parse().ok().map(Self))
            .ok_or_else(|| {
                MeshError::invalid(format!(
                    "priority {text:?} is not one of urgent, normal, deferrable"
                ))
            })
    }
}

impl Serialize for RequestPriority {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u8(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for RequestPriority {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = CompactString::deserialize(deserializer)?;
            text.parse().map_err(de::Error::custom)
        } else {
            u8::deserialize(deserializer).map(Self)
        }
    }
}
