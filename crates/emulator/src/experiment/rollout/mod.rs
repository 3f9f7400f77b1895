//! Hundreds of version moves of each kind through the kernel's decisions, with small fakes for
//! requests and messages at their edges.

mod fault_kind;
mod move_trial;
mod policy_kind;
mod rollout_experiment;
mod sample;
mod size_experiment;
mod trial_node;
mod trial_report;
mod window_limits;
mod workload;

pub use fault_kind::FaultKind;
pub use move_trial::{MoveTrial, TrialResult};
pub use policy_kind::PolicyKind;
pub use trial_report::TrialPlan;
pub use workload::Workload;
