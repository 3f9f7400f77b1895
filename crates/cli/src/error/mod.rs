//! Why a command fails, and its exit code.

mod command_error;

pub use command_error::CommandError;
