use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{error::MeshError, ids::RowRevision};

/// Number of a version move, unique per service; a later move has a higher one.
///
/// It is the revision of the row in which operators ordered the move. On platforms without such
/// rows, the moves of a service are counted from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MoveNumber(RowRevision);

impl MoveNumber {
    /// Builds the number of a move that is counted from 1.
    #[must_use]
    pub const fn new(count: u64) -> Self {
        Self(RowRevision::new(count))
    }

    /// Builds the number of a move that was ordered at `revision`.
    #[must_use]
    pub const fn ordered_at(revision: RowRevision) -> Self {
        Self(revision)
    }

    /// Returns the revision of the order.
    #[must_use]
    pub const fn revision(self) -> RowRevision {
        self.0
    }

    /// Returns the next number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.next())
    }
}

impl fmt::Display for MoveNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for MoveNumber {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
