//! Clients for the platform's table service and object store.
//!
//! The platform holds all durable state. The table service offers rows with revisions and atomic
//! conditional writes; the object store maps names to bodies. Each platform kind registers
//! a constructor for the calls that a [`PlatformClient`] makes.
//!
//! - [`client`]: the client and the registry of platform kinds
//! - [`http`]: HTTP/1.1 client shared by platform kinds
//! - [`table`]: rows, writes and scans

pub mod client;
pub mod http;
pub mod table;

pub use client::{PlatformClient, PlatformKind, PlatformTarget};
pub use http::wall_clock;
