//! Commands that read files of answers: check, generate and diff.

mod check_command;
mod diff_command;
mod generate_command;

pub(crate) use check_command::CHECK_COMMAND;
pub(crate) use diff_command::DIFF_COMMAND;
pub(crate) use generate_command::GENERATE_COMMAND;
