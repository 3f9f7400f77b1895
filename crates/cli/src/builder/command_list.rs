use crate::{
    answers, builder::CommandSpec, burn, completions, explain, init, publish, rollout, status,
};

/// Every command, in the order of the help.
///
/// A new command takes a module with its [`CommandSpec`] and a line here.
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
