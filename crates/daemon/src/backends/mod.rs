//! Backend servers on this node.

mod backend_table;

pub use backend_table::{BackendEntry, BackendTable, LEASE_DURATION};
pub use bronzelb_kernel::member::BackendAnnouncement;
