//! The listener for operators and for the backend servers of the VM.

mod backend_routes;
mod operator_guard;
mod operator_server;
mod status_report;
mod status_routes;

pub use operator_server::start_operator_server;
pub use status_report::{MemberStatus, RefusedStatus, StatusReport};
