use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{RouteName, SlotCount},
};

/// Slots of the two versions' servers that take work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCapacity {
    /// Slots of the old version.
    pub old: SlotCount,
    /// Slots of the new version.
    pub new: SlotCount,
}

/// Whether a running move will be done by its time, and if not, why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outlook")]
pub enum MoveOutlook {
    /// Nothing speaks against it.
    OnTime,
    /// The time is shorter than twice the hold.
    TooShort,
    /// No server of the new version takes work.
    NoServer,
    /// The new version has less than half of the old one's slots.
    TooFewSlots {
        /// The slots of both.
        capacity: VersionCapacity,
    },
    /// No request of the service has been seen.
    NoTraffic,
    /// A route has too few requests to prove the version in time.
    TooLittleEvidence {
        /// The route.
        route: RouteName,
        /// Requests that the new version got on it.
        requests: u64,
        /// Requests that it needs.
        needed: u64,
        /// When it will have them, at the rate seen so far.
        expected_at: ClockInstant,
    },
    /// The time has passed.
    Late,
}

impl MoveOutlook {
    /// Returns whether the move is expected to be done by its time.
    #[must_use]
    pub const fn is_on_time(&self) -> bool {
        matches!(self, Self::OnTime)
    }
}

impl fmt::Display for MoveOutlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OnTime => f.write_str("on time"),
            Self::TooShort => f.write_str("the time is shorter than twice the hold"),
            Self::NoServer => f.write_str("no server of the new version takes work"),
            Self::TooFewSlots { capacity } => write!(
                f,
                "the new version has {} slots, the old one {}",
                capacity.new, capacity.old
            ),
            Self::NoTraffic => f.write_str("no request has been seen"),
            Self::TooLittleEvidence {
                route,
                requests,
                needed,
                expected_at,
            } => write!(
                f,
                "route {route}: {requests} of {needed} requests seen on the new version, \
                 the rest expected by {} s since the epoch",
                expected_at.as_millis() / 1_000
            ),
            Self::Late => f.write_str("the time has passed"),
        }
    }
}
