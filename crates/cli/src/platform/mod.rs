//! Access to the platform from a command.

mod platform_access;
mod wall_clock;

pub(crate) use platform_access::PlatformAccess;
pub(crate) use wall_clock::wall_clock;
