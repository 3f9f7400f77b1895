//! The task that reads accepted configuration versions from the platform.

mod source_task;

pub use source_task::run_source;
