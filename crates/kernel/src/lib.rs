//! Decisions of the bronzelb service mesh as plain, deterministic code.
//!
//! Nothing in this crate reads a clock, opens a socket or draws a random number by itself: the
//! caller passes time, messages and randomness in, so that one seed replays every decision. The
//! daemon is a thin shell around these types.
//!
//! - [`burn`]: service-level burn
//! - [`config`]: the configuration that a mesh runs, and its checks
//! - [`member`]: which nodes are alive, and the backend servers beside them
//! - [`spread`]: how a configuration version travels between nodes
//! - [`request`]: admission, choice of backend server, retries and at-most-once
//! - [`rollout`]: version moves, evidence and their state machine
//! - [`status`]: what a node says of itself
//! - [`plugin`]: formats and clients that register themselves

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
