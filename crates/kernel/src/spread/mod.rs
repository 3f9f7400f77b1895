//! How configuration versions and small mergeable records travel between nodes.

mod record_table;

pub use record_table::{RecordKey, RecordTable, RecordValue};
