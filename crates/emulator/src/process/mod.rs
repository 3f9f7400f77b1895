//! Processes that a test, a trial or an experiment starts, and their end.

mod child_process;
mod program_path;

pub use child_process::ChildProcess;
pub use program_path::program_path;
