use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{RouteName, SlotCount},
};

/// Slots of the servers of each version that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCapacity {
    /// Slots of the old version.
    pub old: SlotCount,
    /// Slots of the new version.
    pub new: SlotCount,
}

/// Forecast of whether a running move will meet its deadline, with the reason if not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outlook")]
pub enum MoveOutlook {
    /// The move is expected to meet its deadline.
    OnTime,
    /// The time until the full share is shorter than the hold time.
    TooShort,
    /// No server of the new version accepts requests.
    NoServer,
    /// The new version has less than half as many slots as the old one.
    TooFewSlots {
        /// Slots of both versions.
        capacity: VersionCapacity,
    },
    /// No request of the service has been observed.
    NoTraffic,
    /// A route has too few requests to verify the new version in time.
    TooLittleEvidence {
        /// Route with too few requests.
        route: RouteName,
        /// Requests of the route on the new version so far.
        requests: u64,
        /// Requests required for the full share.
        needed: u64,
        /// Expected time of the last required request, at the rate observed so far.
        expected_at: ClockInstant,
    },
    /// The deadline has passed.
    Late,
}

impl MoveOutlook {
    /// Returns whether the move is expected to meet its deadline.
    #[must_use]
    pub const fn is_on_time(&self) -> bool {
        matches!(self, Self::OnTime)
    }
}

impl fmt::Display for MoveOutlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OnTime => f.write_str("on time"),
            Self::TooShort => {
                f.write_str("the time until the full share is shorter than the hold time")
            }
            Self::NoServer => f.write_str("no server of the new version accepts requests"),
            Self::TooFewSlots { capacity } => write!(
                f,
                "the new version has {} slots, the old one has {}",
                capacity.new, capacity.old
            ),
            Self::NoTraffic => f.write_str("no requests have been observed"),
            Self::TooLittleEvidence {
                route,
                requests,
                needed,
                expected_at,
            } => write!(
                f,
                "route {route}: {requests} of {needed} required requests seen on the new version, \
                 the rest expected by {} s since the epoch",
                expected_at.as_millis() / 1_000
            ),
            Self::Late => f.write_str("the deadline has passed"),
        }
    }
}
