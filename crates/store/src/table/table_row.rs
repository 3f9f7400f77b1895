use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;
use serde::{Deserialize, Serialize};

use crate::table::RowKey;

/// Revision of a row: it rises with each write to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowRevision(u64);

impl RowRevision {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
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

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: RowKey,
    /// Value of the row.
    pub value: String,
    /// Revision that the row was written at.
    pub revision: RowRevision,
}

/// One page of a scan, in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Rows of the page.
    pub rows: Vec<TableRow>,
    /// Whether more rows follow the last one.
    pub more: bool,
}
