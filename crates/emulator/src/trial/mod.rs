//! A short trial of a whole mesh with a readable account, for the README.

mod trial_moves;
mod trial_reporter;
mod trial_run;

pub use trial_run::run_trial;
