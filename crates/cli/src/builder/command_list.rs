use crate::{answers, builder::CommandSpec, publish};

/// Every command, in the order of the help.
///
/// A new command takes a module with its [`CommandSpec`] and a line here.
pub const COMMANDS: &[CommandSpec] = &[
    answers::CHECK_COMMAND,
    answers::GENERATE_COMMAND,
    publish::PUBLISH_COMMAND,
];
