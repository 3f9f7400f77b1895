//! Experiment on the propagation of configuration versions, with alternative modes as baselines.

mod mesh_usage;
mod spread_experiment;
mod spread_trial;
