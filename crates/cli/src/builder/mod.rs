//! Definition of the command line.

mod command_list;
mod command_spec;
mod root_command;
mod shared_args;

pub use command_list::COMMANDS;
pub use command_spec::CommandSpec;
pub use root_command::build_root;
pub(crate) use shared_args::{answers_arg, answers_path, timeout_arg, timeout_deadline};
