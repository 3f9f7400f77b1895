//! Short demonstration of a whole mesh that prints each step, as described in the README.

mod trial_moves;
mod trial_reporter;
mod trial_run;

pub use trial_run::run_trial;
