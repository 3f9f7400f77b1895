//! Node-to-node protocol of the bronzelb service mesh.
//!
//! Nodes call each other's [`PeerService`] over one authenticated TCP connection. Message payloads
//! are kernel types.
//!
//! - [`peer`]: RPC service and messages
//! - [`handshake`]: mutual authentication with the shared mesh key

pub mod handshake;
pub mod peer;

pub use peer::{PeerService, PeerServiceClient};
