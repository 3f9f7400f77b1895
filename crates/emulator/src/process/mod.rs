//! Child processes of tests, trials and experiments: start, control and cleanup.

mod child_process;
mod process_usage;
mod program_path;

pub use child_process::ChildProcess;
pub use process_usage::ProcessUsage;
pub use program_path::program_path;
