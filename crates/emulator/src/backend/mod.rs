//! Stand-in for a vendor's backend server.
//!
//! It announces itself to the co-located node, runs requests in a bounded number of slots, and
//! responds with a [`ResponseBody`] that identifies the request, so that a caller can verify that
//! the response belongs to it. A control listener sets [`BackendFaults`] and returns the
//! [`BackendTally`].

mod announce_task;
mod backend_faults;
mod backend_server;
mod backend_settings;
mod backend_tally;
mod chain_call;
mod control_handler;
mod emulated_backend;
mod fault_selector;
mod report_handler;
mod request_handler;
mod response_body;
mod run_journal;

pub use backend_faults::{BackendFaults, FaultAction, FaultRule, ReportFaults};
pub use backend_server::{BackendAddresses, serve};
pub use backend_settings::BackendSettings;
pub use backend_tally::{BackendTally, RunTally, TallyTotals};
pub use response_body::ResponseBody;
pub use run_journal::{JournalEntry, read_journal};
