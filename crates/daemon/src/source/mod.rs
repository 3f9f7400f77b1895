//! Platform access: the version row, the content of versions, leases and operators' documents.

mod lease_writer;
mod operator_feed;
mod source_reader;

pub(crate) use lease_writer::log_refused;
pub use lease_writer::{find_seeds, write_lease};
pub use operator_feed::run_operator_feed;
pub use source_reader::{connect_platform, read_object, read_version_row};
