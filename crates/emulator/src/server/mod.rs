//! Utilities shared by the HTTP servers of the stand-ins.

mod broken_responses;
mod connection_handle;
mod listening_event;
mod raw_server;
mod shutdown_signals;

pub use broken_responses::broken_responses;
pub use bronzelb_store::wall_clock;
pub use connection_handle::ConnectionHandle;
pub use listening_event::{first_address, local_error, print_listening};
pub use raw_server::{
    REQUEST_HEADER, RawServer, Reply, ReplyEnding, ReplyScript, close_after, complete_response,
    keep_open, read_head, repeat_after, reply,
};
pub(crate) use shutdown_signals::ShutdownSignals;
