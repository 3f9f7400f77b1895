//! Deterministic core of the bronzelb service mesh.
//!
//! This crate reads no clock, opens no sockets and generates no random numbers itself: the caller
//! passes time, messages and randomness in, so that one seed replays every decision. The daemon
//! performs the I/O around these types.
//!
//! - [`account`]: usage caps and keys of client accounts
//! - [`burn`]: error budget burn of service-level objectives
//! - [`clock`]: instants and durations
//! - [`config`]: mesh configuration and its validation
//! - [`error`]: error kinds and the response that each kind maps to
//! - [`holding`]: memory and connections that a node holds for its clients
//! - [`ids`]: newtypes for names, numbers, counts and hashes
//! - [`member`]: membership of nodes and the backend servers local to them
//! - [`spread`]: distribution of configuration versions between nodes
//! - [`request`]: admission control, load balancing, retries and at-most-once execution
//! - [`rollout`]: version moves, which gradually shift a service's traffic to another version
//! - [`status`]: status that nodes report to operators
//! - [`placement`]: operators' orders on where requests may be placed
//! - [`plugin`]: plug-in interfaces for formats and protocols

pub mod account;
pub mod burn;
pub mod clock;
pub mod config;
pub mod error;
pub mod holding;
pub mod ids;
pub mod member;
pub mod placement;
pub mod plugin;
pub mod request;
pub mod rollout;
pub mod spread;
pub mod status;
