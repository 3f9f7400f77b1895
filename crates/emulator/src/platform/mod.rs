//! Stand-in for the platform's table service and object store.
//!
//! All data is held in memory. A control listener sets [`PlatformFaults`] and returns
//! [`PlatformCounters`].

mod control_handler;
mod object_handler;
mod platform_counters;
mod platform_faults;
mod platform_server;
mod platform_state;
mod request_faults;
mod table_handler;
mod table_store;

pub use platform_counters::{PlatformCounters, RateCounter};
pub use platform_faults::{LostResponses, PlatformFaults};
pub use platform_server::{PlatformAddresses, serve};
pub use table_store::{StoredRow, TableStore, WriteConflict};
