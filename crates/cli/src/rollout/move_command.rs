use bronzelb_kernel::ids::{MeshName, ServiceName};
use clap::{Arg, ArgMatches, Command};

use crate::{
    builder::CommandSpec,
    error::CommandError,
    output::OutputPrinter,
    rollout::{start_command, status_command, stop_command},
};

pub(crate) const MOVE_COMMAND: CommandSpec = CommandSpec {
    name: "move",
    build,
    run,
};

const EXAMPLES: &str = "\
Examples:
  bronzelb move start tracker --from v1 --to v2 --by 30m --mesh hemelval --platform 10.1.0.4:8080
  bronzelb move status --mesh hemelval --platform 10.1.0.4:8080
  bronzelb move stop tracker --mesh hemelval --platform 10.1.0.4:8080";

const MESH: &str = "mesh";
const SERVICE: &str = "service";

fn build(command: Command) -> Command {
    command
        .about("Starts, stops and shows moves of traffic to new backend server versions")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(start_command::build(Command::new("start")))
        .subcommand(stop_command::build(Command::new("stop")))
        .subcommand(status_command::build(Command::new("status")))
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("start", matches)) => start_command::run(matches, printer),
        Some(("stop", matches)) => stop_command::run(matches, printer),
        Some((_, matches)) => status_command::run(matches, printer),
        None => unreachable!("a subcommand is required"),
    }
}

/// Builds the option for the mesh.
pub(crate) fn mesh_arg() -> Arg {
    Arg::new(MESH)
        .long("mesh")
        .value_name("NAME")
        .value_parser(|text: &str| text.parse::<MeshName>())
        .required(true)
        .help("Mesh that the service belongs to")
}

/// Returns the name of the mesh.
pub(crate) fn mesh_of(matches: &ArgMatches) -> &MeshName {
    matches
        .get_one::<MeshName>(MESH)
        .expect("the option is required")
}

/// Builds the argument for the service.
pub(crate) fn service_arg() -> Arg {
    Arg::new(SERVICE)
        .value_name("SERVICE")
        .value_parser(|text: &str| text.parse::<ServiceName>())
        .help("Service whose traffic moves")
}

/// Returns the name of the service, if it was given.
pub(crate) fn service_of(matches: &ArgMatches) -> Option<&ServiceName> {
    matches.get_one::<ServiceName>(SERVICE)
}
