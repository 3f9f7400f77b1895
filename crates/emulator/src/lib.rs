//! Emulator of the systems that the bronzelb service mesh serves.
//!
//! Small stand-ins take the place of the platform and of the backend servers, with knobs that
//! bring about their faults.
//!
//! - [`backend`]: stand-in for a vendor's backend server
//! - [`platform`]: stand-in for the table service and the object store
//! - [`server`]: what the stand-ins' HTTP listeners share
//! - [`command`]: the command line of `bronzelb-emulator`

pub mod backend;
pub mod command;
pub mod platform;
pub mod server;
