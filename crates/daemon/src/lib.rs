//! Daemon of the bronzelb service mesh.
//!
//! One process runs on every backend server VM. It takes callers' requests, runs them on the
//! backend servers beside it or passes them to a node beside the right one, and holds and spreads
//! the mesh's configuration. The decisions are the kernel's; this crate is the shell around them.

pub mod backends;
pub mod callers;
pub mod command;
pub mod forward;
pub mod gossip;
pub mod log;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peers;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod source;
