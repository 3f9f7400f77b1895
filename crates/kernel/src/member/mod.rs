//! Which nodes are alive, and the backend servers beside them.

mod backend_row;
mod member_row;
mod member_table;

pub use backend_row::{BackendRow, BackendState};
pub use member_row::{MemberRow, MemberState};
pub use member_table::MemberTable;
