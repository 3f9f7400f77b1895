//! Clients of the platform's table service and object store.
//!
//! Everything that must last lives on the platform. The table service offers rows with revisions
//! and atomic conditional writes; the object store keeps bodies under a name. A [`PlatformClient`]
//! is a plain struct of closures; each kind of platform registers how to build one.
//!
//! - [`client`]: the client and the kinds of platform
//! - [`http`]: exchanges that kinds of platform make over HTTP/1.1
//! - [`table`]: rows, writes and scans

pub mod client;
pub mod http;
pub mod table;

pub use client::{PlatformClient, PlatformKind, PlatformTarget};
pub use http::wall_clock;
