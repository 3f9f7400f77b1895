use bronzelb_kernel::{error::MeshError, ids::ServiceName, rollout::MoveRecord};
use clap::{ArgMatches, Command};
use compact_str::CompactString;
use serde::Serialize;

use crate::{
    builder::timeout_deadline,
    error::CommandError,
    nodes::{NodeArgs, NodeClient},
    output::OutputPrinter,
    platform::PlatformAccess,
    rollout::{
        move_command::{mesh_arg, mesh_of, service_arg, service_of},
        move_printer::{NodeMove, describe, describe_node_move},
        move_rows::{read_row, read_rows},
    },
};

const EXAMPLES: &str = "\
Examples:
  bronzelb move status --mesh hemelval --platform 10.1.0.4:8080
  bronzelb move status tracker --mesh hemelval --platform 10.1.0.4:8080 --node 10.0.1.1:9200

\"done\" and \"taken back\" are read from the platform's row and are final. With --node a running
move shows its shares, and why it will be late.";

pub(crate) fn build(command: Command) -> Command {
    command
        .about("Shows the latest move of each service")
        .after_help(EXAMPLES)
        .arg(service_arg())
        .arg(mesh_arg())
        .args(PlatformAccess::args())
        .args(NodeArgs::args())
}

#[derive(Serialize)]
struct MoveOutput {
    moves: Vec<MoveRecord>,
    nodes: Vec<NodeMoves>,
    not_heard: Vec<CompactString>,
}

#[derive(Serialize)]
struct NodeMoves {
    node: CompactString,
    moves: Vec<NodeMove>,
}

pub(crate) fn run(
    matches: &ArgMatches,
    printer: &mut OutputPrinter<'_>,
) -> Result<(), CommandError> {
    let output = actix_web::rt::System::new().block_on(collect_moves(matches))?;
    printer.result(to_text(&output), &output);
    Ok(())
}

async fn collect_moves(matches: &ArgMatches) -> Result<MoveOutput, MeshError> {
    let service = service_of(matches);
    let mut output = MoveOutput {
        moves: Vec::new(),
        nodes: Vec::new(),
        not_heard: Vec::new(),
    };
    let addresses = NodeArgs::addresses(matches);
    match read_moves(matches, service).await {
        Ok(moves) => output.moves = moves,
        Err(error) if addresses.is_empty() => return Err(error),
        Err(error) => output.not_heard.push(error.message().into()),
    }
    let client = NodeClient::new(NodeArgs::token_path(matches))?;
    let deadline = timeout_deadline(matches);
    for address in addresses {
        let response: Result<Vec<NodeMove>, _> = client.get(address, "/v1/moves", deadline).await;
        match response {
            Ok(mut moves) => {
                moves.retain(|node_move| {
                    service.is_none_or(|name| node_move.record.service == *name)
                });
                let node = address.to_string().into();
                output.nodes.push(NodeMoves { node, moves });
            }
            Err(error) => output.not_heard.push(error.message().into()),
        }
    }
    Ok(output)
}

async fn read_moves(
    matches: &ArgMatches,
    service: Option<&ServiceName>,
) -> Result<Vec<MoveRecord>, MeshError> {
    let access = PlatformAccess::from_matches(matches)?;
    let mesh = mesh_of(matches);
    let Some(service) = service else {
        return read_rows(&access, mesh).await;
    };
    let row = read_row(&access, mesh, service).await?;
    Ok(row.into_iter().map(|row| row.record).collect())
}

fn to_text(output: &MoveOutput) -> String {
    let mut lines: Vec<String> = output.moves.iter().map(describe).collect();
    if output.moves.is_empty() && output.not_heard.is_empty() {
        lines.push("no move".to_owned());
    }
    for response in &output.nodes {
        for node_move in &response.moves {
            lines.push(format!(
                "node {}: {}",
                response.node,
                describe_node_move(node_move)
            ));
        }
    }
    for reason in &output.not_heard {
        lines.push(format!("not heard: {reason}"));
    }
    lines.join("\n")
}
