//! What the stand-ins' HTTP listeners share.

mod connection_handle;
mod listening_event;
mod wall_clock;

pub use connection_handle::ConnectionHandle;
pub use listening_event::{first_address, local_error, print_listening};
pub use wall_clock::wall_clock;
