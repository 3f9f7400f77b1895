//! The listener for callers.

mod caller_handler;
mod caller_server;
mod error_response;
mod route_match;
mod ticket_handler;

pub use caller_server::start_caller_server;
pub use error_response::error_response;
