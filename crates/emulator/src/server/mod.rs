//! Utilities shared by the HTTP servers of the stand-ins.

mod connection_handle;
mod listening_event;
mod shutdown_signals;

pub use bronzelb_store::wall_clock;
pub use connection_handle::ConnectionHandle;
pub use listening_event::{first_address, local_error, print_listening};
pub(crate) use shutdown_signals::ShutdownSignals;
