//! Differences between two configurations.

mod config_change;
mod snapshot_compare;

pub use config_change::{ChangeKind, ConfigChange};
pub use snapshot_compare::compare_snapshots;
