//! Simulation of version moves in one process. The decisions are those of the kernel; requests and
//! the messages between nodes are simulated. Each fault kind is repeated with many seeds.

mod fault_kind;
mod move_trial;
mod policy_kind;
mod rollout_experiment;
mod sample;
mod size_experiment;
mod trial_node;
mod trial_plan;
mod trial_workload;
mod window_limits;

pub use fault_kind::FaultKind;
pub use move_trial::{MoveTrial, TrialResult};
pub use policy_kind::PolicyKind;
pub use trial_plan::TrialPlan;
pub use trial_workload::TrialWorkload;
