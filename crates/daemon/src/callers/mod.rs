//! HTTP server for callers.

mod account_check;
mod caller_connection;
mod caller_handler;
mod caller_request;
mod caller_server;
mod error_response;
mod native_dialect;
mod outgoing_response;
mod request_body;
mod request_reader;
mod ticket_handler;

pub use caller_server::start_caller_server;
pub(crate) use error_response::caller_error_response;
pub use error_response::error_response;
pub use native_dialect::NATIVE_DIALECT;
