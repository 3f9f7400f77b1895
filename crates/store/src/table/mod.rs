//! Rows, writes and scans of the table service.

mod row_key;
mod row_write;
mod table_row;

pub use bronzelb_kernel::ids::RowRevision;
pub use row_key::{MAX_KEY_BYTES, RowKey};
pub use row_write::{RowPrecondition, RowWrite};
pub use table_row::{ScanPage, TableRow};
