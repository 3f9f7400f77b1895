//! Stand-in for a vendor's backend server.
//!
//! It announces itself to the node beside it, runs requests in a bounded number of slots, and
//! answers with an [`AnswerBody`] that names the request, so that a caller can check that the
//! answer is its own. A second listener takes [`BackendFaults`] and shows the [`BackendTally`].

mod announce_task;
mod answer_body;
mod backend_faults;
mod backend_server;
mod backend_settings;
mod backend_state;
mod backend_tally;
mod chain_call;
mod control_handler;
mod fault_plan;
mod report_handler;
mod run_journal;
mod work_handler;

pub use answer_body::AnswerBody;
pub use backend_faults::{BackendFaults, FaultAction, FaultRule, ReportFaults};
pub use backend_server::{BackendAddresses, serve};
pub use backend_settings::BackendSettings;
pub use backend_tally::{BackendTally, RunTally, TallyTotals};
pub use run_journal::{JournalEntry, read_journal};
