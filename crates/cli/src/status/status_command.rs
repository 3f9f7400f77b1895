use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    ids::MeshName,
    spread::VersionRow,
};
use clap::{ArgMatches, Command};

use crate::{
    builder::{CommandSpec, timeout_arg, timeout_deadline},
    error::CommandError,
    nodes::{NodeArgs, NodeClient},
    output::OutputPrinter,
    platform::{PlatformAccess, read_version_row, wall_clock},
    status::{mesh_status::MeshStatus, status_table::to_text},
};

pub(crate) const STATUS_COMMAND: CommandSpec = CommandSpec {
    name: "status",
    build,
    run,
};

const EXAMPLES: &str = "\
Examples:
  bronzelb status --node 127.0.0.1:9200
  bronzelb status --node 10.0.1.1:9200 --node 10.0.2.1:9200 --token /etc/bronzelb/token
  bronzelb status --node 127.0.0.1:9200 --platform 10.1.0.4:8080 --output json

AGE is the time since the node's version came into force. Client accounts are those of the highest
version in force, if it has any; their keys are counted, never shown. Nodes that others report and that were
not queried, or did not respond, are counted as not heard, and listed if they are not serving. If
no node responds, the exit code is 3 if a token is missing or wrong, and 6 otherwise.";

fn build(command: Command) -> Command {
    command
        .about("Shows version, age and state for each node and data centre")
        .after_help(EXAMPLES)
        .args(NodeArgs::args().map(|arg| {
            let is_node = arg.get_id() == "node";
            arg.required(is_node)
        }))
        .args(PlatformAccess::optional_args())
        .arg(timeout_arg("5s"))
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let status = actix_web::rt::System::new().block_on(read_status(matches))?;
    printer.result(to_text(&status), &status);
    check_responded(&status)?;
    Ok(())
}

fn check_responded(status: &MeshStatus) -> Result<(), MeshError> {
    let kind = match (status.nodes.is_empty(), status.is_token_missing) {
        (false, _) => return Ok(()),
        (true, true) => ErrorKind::Unauthorized,
        (true, false) => ErrorKind::NoBackend,
    };
    Err(MeshError::new(kind, "no node answered"))
}

async fn read_status(matches: &ArgMatches) -> Result<MeshStatus, MeshError> {
    let addresses = NodeArgs::addresses(matches);
    let client = NodeClient::new(NodeArgs::token_path(matches))?;
    let deadline = timeout_deadline(matches);
    let responses = client.statuses(&addresses, deadline).await;
    let status = MeshStatus::new(&addresses, responses);
    match PlatformAccess::from_optional(matches)? {
        Some(access) => Ok(add_accepted(status, &access).await),
        None => Ok(status),
    }
}

async fn add_accepted(mut status: MeshStatus, access: &PlatformAccess) -> MeshStatus {
    let Some(mesh) = status.nodes.first().map(|line| line.mesh.clone()) else {
        return status;
    };
    match read_accepted_row(access, &mesh).await {
        Ok(Some(row)) => {
            let now: ClockInstant = wall_clock();
            let age = row.published_at.elapsed(now);
            status.with_accepted(&row, age)
        }
        Ok(None) => status,
        Err(error) => {
            status.not_heard.push(error.message().into());
            status
        }
    }
}

async fn read_accepted_row(
    access: &PlatformAccess,
    mesh: &MeshName,
) -> Result<Option<VersionRow>, MeshError> {
    let current = read_version_row(access, mesh).await?;
    Ok(current.map(|current| current.row))
}
