//! Commands that start, stop and show version moves.

mod move_command;
mod move_printer;
mod move_rows;
mod start_command;
mod status_command;
mod stop_command;

pub(crate) use move_command::MOVE_COMMAND;
