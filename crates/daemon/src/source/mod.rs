//! What the node reads from the platform: the version row and the content of versions.

mod source_reader;

pub use source_reader::{connect_platform, read_object, read_version_row};
