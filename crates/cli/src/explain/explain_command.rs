use std::{
    fmt::Write,
    fs::File,
    io::{self, BufReader},
    path::PathBuf,
};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use compact_str::CompactString;

use crate::{
    builder::CommandSpec,
    error::CommandError,
    explain::request_timeline::{RequestTimeline, TimelineLine},
    output::OutputPrinter,
};

pub(crate) const EXPLAIN_COMMAND: CommandSpec = CommandSpec {
    name: "explain",
    build,
    run,
};

const EXAMPLES: &str = "\
Examples:
  bronzelb explain 9c41d07be2a35f68 node-1.log node-2.log
  cat *.log | bronzelb explain 9c41d07be2a35f68";

fn build(command: Command) -> Command {
    command
        .about("Shows what nodes logged about one request, in order of time")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("Identifier of the request, as the caller sent or received it")
                .required(true),
        )
        .arg(
            Arg::new("log")
                .value_name("LOG")
                .help("Logs of nodes, one JSON object per line; standard input if none is given")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let request: &String = matches
        .get_one("request")
        .expect("the request argument is required");
    let mut timeline = RequestTimeline::default();
    match matches.get_many::<PathBuf>("log") {
        Some(paths) => {
            for path in paths {
                let source = path.display().to_string();
                let file = File::open(path).map_err(|error| {
                    MeshError::new(ErrorKind::LocalIo, format!("{source}: {error}"))
                })?;
                timeline.read(&source, BufReader::new(file), request);
            }
        }
        None => timeline.read("standard input", io::stdin().lock(), request),
    }
    timeline.sort();
    if timeline.lines.is_empty() {
        let message = format!("no line of the logs names request {request}");
        return Err(MeshError::new(ErrorKind::NotFound, message).into());
    }
    printer.result(format_timeline(&timeline), &timeline);
    for place in &timeline.unreadable {
        printer.note(&format!("{place}: not a line of a node's log"));
    }
    Ok(())
}

fn format_timeline(timeline: &RequestTimeline) -> String {
    let mut text = String::new();
    let start = timeline.lines.first().map_or(0, |line| line.ts);
    for line in &timeline.lines {
        write_line(&mut text, line, start);
    }
    if !timeline.nodes_with_gaps.is_empty() {
        let nodes: Vec<_> = timeline
            .nodes_with_gaps
            .iter()
            .map(CompactString::as_str)
            .collect();
        let nodes = nodes.join(", ");
        writeln!(
            text,
            "lines may be missing: these nodes left some out: {nodes}"
        )
        .expect("writing to a string succeeds");
    }
    text
}

fn write_line(text: &mut String, line: &TimelineLine, start: u64) {
    write!(text, "+{} ms {} {}", line.ts - start, line.node, line.event)
        .expect("writing to a string succeeds");
    for (name, value) in &line.fields {
        write!(text, " {name}={value}").expect("writing to a string succeeds");
    }
    text.push('\n');
}
