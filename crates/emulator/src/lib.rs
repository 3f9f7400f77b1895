//! Emulator of the systems that the bronzelb service mesh serves.
//!
//! Small stand-ins take the place of the platform and of the backend servers, with knobs that
//! bring about their faults.
//!
//! - [`backend`]: stand-in for a vendor's backend server
//! - [`experiment`]: experiments that print figures
//! - [`http`]: clients of the control listeners and of nodes
//! - [`load`]: open-loop load generator
//! - [`mesh`]: a whole mesh of separate processes
//! - [`platform`]: stand-in for the table service and the object store
//! - [`process`]: processes that a test or an experiment starts
//! - [`proxy`]: fault-injecting TCP proxy
//! - [`server`]: what the stand-ins' HTTP listeners share
//! - [`soak`]: a randomized soak under faults from outside
//! - [`trial`]: a short trial of a whole mesh
//! - [`command`]: the command line of `bronzelb-emulator`

pub mod backend;
pub mod command;
pub mod experiment;
pub mod http;
pub mod load;
pub mod mesh;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod server;
pub mod soak;
pub mod trial;
