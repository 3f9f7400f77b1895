//! Usage caps of client accounts: admission at the entry node, and exchanges with owners.

mod usage_limiter;
mod usage_permit;
mod usage_state;
mod usage_task;

pub(crate) use usage_limiter::UsageLimiter;
pub(crate) use usage_permit::UsagePermit;
pub use usage_state::UsageState;
pub use usage_task::run_usage;
