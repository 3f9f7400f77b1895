//! Mutual peer authentication with the shared mesh key.

mod mesh_key;
mod peer_handshake;

pub use mesh_key::MeshKey;
pub use peer_handshake::{accept_peer, connect_peer};
