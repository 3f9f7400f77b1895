use std::{fs, path::PathBuf};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{
    builder::{CommandSpec, timeout_arg, timeout_deadline},
    burn::{burn_collector::collect_report, burn_page::to_html, burn_text::to_text},
    error::CommandError,
    nodes::{NodeArgs, NodeClient},
    output::OutputPrinter,
};

pub(crate) const REPORT_COMMAND: CommandSpec = CommandSpec {
    name: "report",
    build,
    run,
};

const HTML: &str = "html";

const EXAMPLES: &str = "\
Examples:
  bronzelb report burn --node 10.0.1.1:9200 --node 10.0.2.1:9200 --token /etc/bronzelb/token
  bronzelb report burn --node 127.0.0.1:9200 --html burn.html

A burn rate of 1 spends exactly what the objective allows. Each node counts the requests that enter
at it, for the last hour and since it started; nodes that others report and that were not
queried, or did not respond, are listed as not heard, and their requests are missing from the
figures.";

fn build(command: Command) -> Command {
    command
        .about("Reports on what the mesh does")
        .after_help("Examples:\n  bronzelb report burn --node 127.0.0.1:9200")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(build_burn(Command::new("burn")))
}

fn build_burn(command: Command) -> Command {
    command
        .about("Shows how fast each route spends its error budget, and who spent it")
        .after_help(EXAMPLES)
        .args(NodeArgs::args().map(|arg| {
            let is_node = arg.get_id() == "node";
            arg.required(is_node)
        }))
        .arg(
            Arg::new(HTML)
                .long(HTML)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File to write a page with plots to"),
        )
        .arg(timeout_arg("5s"))
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let (_, matches) = matches.subcommand().expect("a subcommand is required");
    let addresses = NodeArgs::addresses(matches);
    let client = NodeClient::new(NodeArgs::token_path(matches))?;
    let deadline = timeout_deadline(matches);
    let system = actix_web::rt::System::new();
    let report = system.block_on(collect_report(&client, &addresses, deadline));
    if let Some(path) = matches.get_one::<PathBuf>(HTML) {
        let page = to_html(&report)?;
        fs::write(path, page).map_err(|error| {
            MeshError::new(
                ErrorKind::LocalIo,
                format!("page {}: {error}", path.display()),
            )
        })?;
    }
    printer.result(to_text(&report), &report);
    if report.nodes == 0 {
        return Err(MeshError::new(ErrorKind::NoBackend, "no node answered").into());
    }
    Ok(())
}
