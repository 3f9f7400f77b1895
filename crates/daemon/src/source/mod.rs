//! Platform access: the version row, the content of versions, leases and operators' documents.

mod era_watch;
mod lease_writer;
mod operator_feed;
mod source_reader;

pub(crate) use era_watch::apply_era_record;
pub use era_watch::run_era_watch;
pub(crate) use lease_writer::log_refused;
pub use lease_writer::{find_seeds, write_lease};
pub use operator_feed::run_operator_feed;
pub use source_reader::{connect_platform, read_object, read_version_row};
