//! Protocol between the processes of the bronzelb service mesh.
//!
//! Nodes talk to each other by [`PeerService`] over one authenticated TCP connection. The bodies
//! of the messages are the kernel's own types.
//!
//! - [`peer`]: the remote procedures and their messages
//! - [`handshake`]: mutual authentication with the mesh key

pub mod handshake;
pub mod peer;

pub use peer::{PeerService, PeerServiceClient};
