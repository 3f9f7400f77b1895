//! Deterministic core of the bronzelb service mesh.
//!
//! This crate reads no clock, opens no sockets and generates no random numbers itself: the caller
//! passes time, messages and randomness in, so that one seed replays every decision. The daemon
//! performs the I/O around these types.
//!
//! - [`burn`]: error budget burn of service-level objectives
//! - [`config`]: mesh configuration and its validation
//! - [`member`]: membership of nodes and the backend servers local to them
//! - [`spread`]: distribution of configuration versions between nodes
//! - [`request`]: admission control, load balancing, retries and at-most-once execution
//! - [`rollout`]: version moves, their evidence and state machine
//! - [`status`]: status that nodes report to operators
//! - [`plugin`]: plug-in interfaces for formats and protocols

pub mod burn;
pub mod clock;
pub mod config;
pub mod error;
pub mod ids;
pub mod member;
pub mod plugin;
pub mod request;
pub mod rollout;
pub mod spread;
pub mod status;
