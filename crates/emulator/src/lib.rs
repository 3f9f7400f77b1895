//! Emulator of the environment of a bronzelb service mesh, for tests and experiments.
//!
//! Stand-ins replace the platform and the backend servers and support fault injection.
//!
//! - [`backend`]: stand-in for a vendor's backend server
//! - [`experiment`]: experiments that measure and print results
//! - [`http`]: HTTP clients of the control listeners and of nodes
//! - [`load`]: open-loop load generator
//! - [`mesh`]: a complete mesh of separate processes on the local machine
//! - [`platform`]: stand-in for the table service and the object store
//! - [`process`]: child processes of tests and experiments
//! - [`proxy`]: fault-injecting TCP proxy
//! - [`server`]: utilities shared by the HTTP servers of the stand-ins
//! - [`soak`]: randomized soak test with fault injection
//! - [`trial`]: a short demonstration of a complete mesh
//! - [`command`]: command-line interface of `bronzelb-emulator`

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
