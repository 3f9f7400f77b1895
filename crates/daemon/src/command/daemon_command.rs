use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

const EXAMPLES: &str = "\
Examples:
  bronzelbd --settings /etc/bronzelb/node.yaml
  bronzelbd --settings node.yaml --check-settings";

/// Builds the daemon's command-line parser.
#[must_use]
pub fn daemon_command() -> Command {
    Command::new("bronzelbd")
        .version(crate_version!())
        .about(
            "Node of the bronzelb service mesh: proxies requests and replicates the configuration",
        )
        .after_help(EXAMPLES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Path of the node's settings file (YAML)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .help("Validate the settings file, print any errors and exit")
                .action(ArgAction::SetTrue),
        )
}
