use crate::{
    answers, builder::CommandSpec, burn, completions, explain, init, publish, rollout, status,
};

/// All commands, in the order in which the help lists them.
///
/// To add a command, write a module with its [`CommandSpec`] and list it here.
pub const COMMANDS: &[CommandSpec] = &[
    init::INIT_COMMAND,
    answers::CHECK_COMMAND,
    answers::GENERATE_COMMAND,
    answers::DIFF_COMMAND,
    publish::PUBLISH_COMMAND,
    status::STATUS_COMMAND,
    rollout::MOVE_COMMAND,
    burn::REPORT_COMMAND,
    explain::EXPLAIN_COMMAND,
    completions::COMPLETIONS_COMMAND,
];
