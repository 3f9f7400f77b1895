//! A short trial of a whole mesh with a readable account, for the README.

mod trial_account;
mod trial_moves;
mod trial_run;

pub use trial_run::run_trial;
