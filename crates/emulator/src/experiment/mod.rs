//! Experiments that measure figures and report them with their seed and sizes.
//!
//! Each experiment registers an [`ExperimentEntry`] with `inventory::submit!` and returns an
//! [`ExperimentReport`].

mod capacity_plan;
mod experiment_context;
mod experiment_entry;
mod experiment_report;
mod node_size;
mod platform_calls;
mod request;
pub mod rollout;
mod spread;

pub use capacity_plan::{CAPACITY_PLAN, PlannedRun};
pub use experiment_context::{ExperimentContext, SizeSetting};
pub use experiment_entry::ExperimentEntry;
pub use experiment_report::{ExperimentReport, ReportCell, ReportRow, ReportSize};
