//! Shell completions.

mod completions_command;

pub(crate) use completions_command::COMPLETIONS_COMMAND;
