//! Randomized soak test: a mesh of real processes under load with external fault injection.
//!
//! - `soak_plan`: the fault schedule, generated from a seed
//! - `soak_calls`: callers with persistent connections
//! - `soak_faults`: injects and removes faults
//! - `soak_check`: checks the recorded history against the mesh's invariants
//! - `soak_run`: runs a plan from start to report

mod soak_calls;
mod soak_check;
mod soak_faults;
mod soak_plan;
mod soak_run;

pub use soak_calls::{CallKind, SoakCall};
pub use soak_check::{NodeOutage, SoakHistory, StatedPeriod, check_invariants};
pub use soak_plan::{ScheduledFault, SoakFault, SoakPlan};
pub use soak_run::{SoakReport, SoakRun};
