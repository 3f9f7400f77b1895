use bronzelb_answers::read_answers;
use bronzelb_kernel::{
    config::ConfigSnapshot,
    ids::{ContentHash, MeshName},
};
use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::{
    builder::{CommandSpec, answers_arg, answers_path},
    error::CommandError,
    output::OutputPrinter,
};

pub(crate) const CHECK_COMMAND: CommandSpec = CommandSpec {
    name: "check",
    build,
    run,
};

const EXAMPLES: &str = "\
Examples:
  bronzelb check answers.yaml
  bronzelb check answers.yaml --output json";

#[derive(Serialize)]
struct CheckSummary<'a> {
    mesh: &'a MeshName,
    hash: ContentHash,
    bytes: usize,
    data_centres: usize,
    services: usize,
    routes: usize,
}

fn build(command: Command) -> Command {
    command
        .about("Checks answers and lists every mistake")
        .after_help(EXAMPLES)
        .arg(answers_arg())
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let snapshot = read_answers(answers_path(matches))?;
    let summary = summarize(&snapshot);
    let plain = format!(
        "valid: mesh {} with {} data centres, {} services and {} routes ({} bytes, hash {})",
        summary.mesh,
        summary.data_centres,
        summary.services,
        summary.routes,
        summary.bytes,
        summary.hash,
    );
    printer.result(plain, &summary);
    Ok(())
}

fn summarize(snapshot: &ConfigSnapshot) -> CheckSummary<'_> {
    let body = snapshot.to_bytes();
    CheckSummary {
        mesh: &snapshot.mesh,
        hash: ContentHash::of(&body),
        bytes: body.len(),
        data_centres: snapshot.proxies.len(),
        services: snapshot.services.len(),
        routes: snapshot.routes.len(),
    }
}
