//! What the node reads from the platform: the version row and the content of versions.

mod lease_writer;
mod source_reader;

pub use lease_writer::{find_seeds, write_lease};
pub use source_reader::{connect_platform, read_object, read_version_row};
