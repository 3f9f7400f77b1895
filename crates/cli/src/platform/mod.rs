//! Access of commands to the platform.

mod platform_access;
mod version_read;

pub(crate) use bronzelb_store::wall_clock;
pub(crate) use platform_access::PlatformAccess;
pub(crate) use version_read::{read_accepted_snapshot, read_version_row, version_key};
