//! Rows, writes and scans of the table service.

mod row_key;
mod row_write;
mod table_row;

pub use row_key::{MAX_KEY_BYTES, RowKey};
pub use row_write::{RowPrecondition, RowWrite};
pub use table_row::{RowRevision, ScanPage, TableRow};
