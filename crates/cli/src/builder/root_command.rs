use clap::Command;

use crate::{
    builder::{COMMANDS, CommandSpec},
    output::OutputFormat,
};

const ROOT_EXAMPLES: &str = "\
Examples:
  bronzelb check examples/hemelval/answers.yaml
  bronzelb publish examples/hemelval/answers.yaml --platform 10.1.0.4:8080

Exit codes:
  0  done
  1  the local machine failed (files, sockets)
  2  the command line, a file or an answer is invalid
  3  a token or key is missing or wrong
  4  a file, service, version or move does not exist
  5  another operator was first
  6  the mesh refused, or the outcome is unknown
  7  the platform does not answer";

/// Builds the definition of the whole command line.
#[must_use]
pub fn build_root() -> Command {
    Command::new("bronzelb")
        .version(clap::crate_version!())
        .about("Configures and watches a bronzelb service mesh")
        .after_help(ROOT_EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(OutputFormat::arg())
        .subcommands(COMMANDS.iter().copied().map(CommandSpec::to_command))
}
