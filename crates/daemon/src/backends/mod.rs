//! Backend servers on this node.

mod backend_table;
mod cold_events;
mod contact_monitor;
mod departure_copies;
mod health_probe;

pub(crate) use backend_table::has_plausible_start;
pub use backend_table::{BackendEntry, BackendTable, LEASE_DURATION};
pub use bronzelb_kernel::member::BackendAnnouncement;
pub(crate) use cold_events::{apply_cold_limit, doubt_all_servers, doubt_server, record_contact};
pub use contact_monitor::ContactMonitor;
pub use departure_copies::DepartureCopies;
pub(crate) use departure_copies::{apply_departure_record, copy_departure, departure_records};
pub use health_probe::run_health_probes;
