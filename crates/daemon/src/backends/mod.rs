//! The backend servers beside this node.

mod backend_announcement;
mod backend_table;

pub use backend_announcement::BackendAnnouncement;
pub use backend_table::{BackendEntry, BackendTable, LEASE_BUDGET};
