use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::table::RowKey;

/// Revision of a row; it increases with every write to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowRevision(u64);

impl RowRevision {
    /// Creates a revision from its number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the revision number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RowRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RowRevision {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| MeshError::invalid(format!("row revision {text:?} is not a whole number")))
    }
}

/// A table row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Row key.
    pub key: RowKey,
    /// Stored value.
    pub value: String,
    /// Revision of the last write to the row.
    pub revision: RowRevision,
}

/// One page of scan results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Rows in key order.
    pub rows: Vec<TableRow>,
    /// Whether the scan has more rows after this page.
    pub more: bool,
    /// Why rows of other writers were left out: they can't be read.
    #[serde(skip)]
    pub refused: Vec<CompactString>,
}
