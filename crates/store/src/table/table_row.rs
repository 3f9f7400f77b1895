use bronzelb_kernel::ids::RowRevision;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::table::RowKey;

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
