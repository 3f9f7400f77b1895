//! Connections between nodes.

mod peer_handler;
mod peer_pool;
mod peer_server;
mod transport;

pub use peer_pool::PeerPool;
pub use peer_server::start_peer_server;
