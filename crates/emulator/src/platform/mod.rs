//! Stand-in for the platform's table service and object store.
//!
//! Everything is kept in memory. A second listener takes [`PlatformFaults`] and shows
//! [`PlatformCounters`].

mod control_handler;
mod fault_gate;
mod object_handler;
mod platform_counters;
mod platform_faults;
mod platform_server;
mod platform_state;
mod table_handler;
mod table_store;

pub use platform_counters::{PlatformCounters, RateCounter};
pub use platform_faults::{LostAnswers, PlatformFaults};
pub use platform_server::{PlatformAddresses, serve};
pub use table_store::{StoredRow, TableStore, WriteConflict};
