//! How configuration versions and small mergeable records travel between nodes.

mod publish_plan;
mod record_table;
mod version_row;

pub use publish_plan::{
    CurrentRow, PublishAttempt, PublishOutcome, PublishPlan, PublishStep, WriteAnswer,
};
pub use record_table::{RecordKey, RecordTable, RecordValue};
pub use version_row::{AcceptedAttempt, MAX_ACCEPTED_ATTEMPTS, VersionRow};
