//! Connections between nodes.

mod counted_stream;
mod peer_connection;
mod peer_handler;
mod peer_pool;
mod peer_server;
mod peer_transport;

pub use counted_stream::PeerTraffic;
pub(crate) use peer_connection::{open_connection, set_dead_peer_timeouts};
pub use peer_pool::PeerPool;
pub use peer_server::start_peer_server;
