//! A randomized soak: a mesh of real processes under load while faults come from outside.
//!
//! - `soak_plan`: which faults come when, drawn from a seed
//! - `soak_calls`: callers that keep their connections open
//! - `soak_faults`: brings a fault about and ends it again
//! - `soak_check`: what callers and backend servers saw, against what the mesh promises
//! - `soak_run`: a whole run

mod soak_calls;
mod soak_check;
mod soak_faults;
mod soak_plan;
mod soak_run;

pub use soak_calls::{CallKind, SoakCall};
pub use soak_check::{NodeOutage, SoakHistory, check_invariants};
pub use soak_plan::{ScheduledFault, SoakFault, SoakPlan};
pub use soak_run::{SoakReport, SoakRun};
