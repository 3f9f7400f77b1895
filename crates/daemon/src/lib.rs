//! Daemon of the bronzelb service mesh.
//!
//! One daemon runs on every backend server VM. It receives callers' requests and forwards them to
//! backend servers on its VM, or to the node of another VM that hosts a suitable one. It also
//! stores the mesh configuration and replicates it to other nodes. The decision logic is in the
//! [kernel](bronzelb_kernel); this crate provides the I/O around it.

pub mod accounts;
pub mod backends;
pub mod callers;
pub mod command;
pub mod forward;
pub mod gossip;
pub mod holding;
pub mod log;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peers;
pub mod placement;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod source;
