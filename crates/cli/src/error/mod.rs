//! Errors of commands, and their exit codes.

mod command_error;

pub use command_error::CommandError;
