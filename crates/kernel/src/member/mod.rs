//! Membership: which nodes are alive, and their local backend servers.

mod backend_announcement;
mod backend_row;
mod departure_notice;
mod lease_guard;
mod lease_row;
mod lease_schedule;
mod member_row;
mod member_table;
mod member_view;
mod stated_cold;
mod stated_limit;

pub use backend_announcement::{
    BackendAnnouncement, BackendHeartbeat, BackendIncarnation, BackendMessage,
};
pub use backend_row::{BackendRow, BackendState};
pub use departure_notice::{DEPARTURE_KIND, DepartureNotice, DepartureTable};
pub use lease_guard::LeaseGuard;
pub use lease_row::LeaseRow;
pub use lease_schedule::{LEASE_ROW_TTL, LeaseSchedule};
pub use member_row::{MemberRow, MemberState};
pub use member_table::MemberTable;
pub use member_view::{MemberView, MergeOutcome};
pub use stated_cold::{MAX_COLD_TIME, StatedCold};
pub use stated_limit::StatedLimit;
