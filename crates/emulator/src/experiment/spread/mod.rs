//! Experiment on the propagation of configuration versions, in the mixed mode and in the others
//! for comparison.

mod mesh_usage;
mod spread_experiment;
mod spread_trial;
