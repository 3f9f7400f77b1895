//! Memory and connections that this node holds for its clients.

mod body_buffer;
mod connection_hold;
mod connection_limiter;
mod held_body;
mod holding_state;

pub(crate) use body_buffer::{BodyBuffer, BodyOverflow};
pub(crate) use connection_hold::ConnectionHold;
pub(crate) use connection_limiter::limit_connections;
pub(crate) use held_body::{OutputHold, RequestHold, StoredBody, UnreadBody};
pub use holding_state::HoldingState;
