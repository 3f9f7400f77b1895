use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    ids::{MeshName, ServiceName},
    rollout::{MarkCause, MoveChange, MoveMark, MoveRecord, MoveTransition},
};
use clap::{ArgMatches, Command};

use crate::{
    error::CommandError,
    nodes::{NodeArgs, NodeClient},
    output::OutputPrinter,
    platform::{PlatformAccess, wall_clock},
    rollout::{
        move_command::{mesh_arg, mesh_of, service_arg, service_of},
        move_printer::describe,
        move_rows::{new_attempt_token, read_row, write_row},
    },
};

const EXAMPLES: &str = "\
Examples:
  bronzelb move stop tracker --mesh hemelval --platform 10.1.0.4:8080
  bronzelb move stop tracker --mesh hemelval --platform 10.1.0.4:8080 --node 10.0.1.1:9200

With --node the nodes stop at once, also while the platform is away; without it they stop when they
have read the platform's row. A move that is done is not stopped: start one back instead.";

pub(crate) fn build(command: Command) -> Command {
    command
        .about("Stops a move: the new version gets no more traffic")
        .after_help(EXAMPLES)
        .arg(service_arg().required(true))
        .arg(mesh_arg())
        .args(PlatformAccess::args())
        .args(NodeArgs::args())
}

pub(crate) fn run(
    matches: &ArgMatches,
    printer: &mut OutputPrinter<'_>,
) -> Result<(), CommandError> {
    let (record, notes) = actix_web::rt::System::new().block_on(stop(matches))?;
    for note in notes {
        printer.note(&note);
    }
    printer.result(describe(&record), &record);
    Ok(())
}

async fn stop(matches: &ArgMatches) -> Result<(MoveRecord, Vec<String>), MeshError> {
    let service = service_of(matches).expect("the argument is required");
    let notes = stop_nodes(matches, service).await?;
    let access = PlatformAccess::from_matches(matches)?;
    let record = stop_row(&access, mesh_of(matches), service).await?;
    Ok((record, notes))
}

/// Tells the given nodes to stop immediately and returns one note for each.
async fn stop_nodes(matches: &ArgMatches, service: &ServiceName) -> Result<Vec<String>, MeshError> {
    let client = NodeClient::new(NodeArgs::token_path(matches))?;
    let deadline = crate::builder::timeout_deadline(matches);
    let path = format!("/v1/moves/{service}/stop");
    let mut notes = Vec::new();
    for address in NodeArgs::addresses(matches) {
        let response: Result<serde_json::Value, _> = client.post(address, &path, deadline).await;
        notes.push(match response {
            Ok(_) => format!("node {address} sends no more requests to the new version"),
            Err(error) => format!("node {address}: {}", error.message()),
        });
    }
    Ok(notes)
}

async fn stop_row(
    access: &PlatformAccess,
    mesh: &MeshName,
    service: &ServiceName,
) -> Result<MoveRecord, MeshError> {
    loop {
        let row = read_row(access, mesh, service).await?.ok_or_else(|| {
            let message = format!("service {service} has no move in mesh {mesh}");
            MeshError::new(ErrorKind::NotFound, message)
        })?;
        let stop = MoveChange::Stop(operator_mark(&row.record));
        let (transition, written) = row.record.apply(stop, new_attempt_token());
        let Some(written) = written else {
            return unchanged_result(transition, row.record);
        };
        match write_row(access, mesh, &written, Some(row.revision)).await {
            Ok(()) => return Ok(written),
            // Another writer was first: read its row and decide again.
            Err(error) if error.kind() == ErrorKind::Conflict => {}
            Err(error) => return Err(error),
        }
    }
}

fn unchanged_result(
    transition: MoveTransition,
    record: MoveRecord,
) -> Result<MoveRecord, MeshError> {
    match transition {
        MoveTransition::Same => Ok(record),
        _ => Err(MeshError::new(ErrorKind::Conflict, describe(&record))),
    }
}

fn operator_mark(record: &MoveRecord) -> MoveMark {
    MoveMark {
        number: record.number,
        marked_at: wall_clock(),
        node: None,
        data_centre: None,
        cause: MarkCause::Operator,
        route: None,
        figures: "stopped by an operator".into(),
    }
}
