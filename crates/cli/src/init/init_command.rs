use std::{
    fs::OpenOptions,
    io::{self, IsTerminal, Write},
};

use bronzelb_answers::{draft::MeshDraft, parse_answers};
use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    ids::MeshName,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::{
    builder::CommandSpec,
    error::CommandError,
    init::{question_list::ask_questions, text_prompt::TextPrompt},
    output::OutputPrinter,
};

pub(crate) const INIT_COMMAND: CommandSpec = CommandSpec {
    name: "init",
    build,
    run,
};

const FILE: &str = "file";
const DEFAULTS: &str = "defaults";
const ASK: &str = "ask";
const FORCE: &str = "force";
const MESH: &str = "mesh";
const SAMPLE: &str = "sample";
const STDOUT: &str = "-";
const MAX_SAMPLE_SERVICES: u64 = 1_000;

const EXAMPLES: &str = "\
Examples:
  bronzelb init answers.yaml
  bronzelb init answers.yaml --defaults --mesh hemelval
  bronzelb init - --sample 78 > letter-size.yaml

Without --defaults or --sample the command asks at the terminal; an empty line takes the default
in brackets.";

fn build(command: Command) -> Command {
    command
        .about("Writes the first, commented answers of a mesh")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(FILE)
                .value_name("FILE")
                .default_value("answers.yaml")
                .help("File to write, or - for standard output"),
        )
        .arg(flag(DEFAULTS, "Takes the default of every question"))
        .arg(flag(ASK, "Asks also when standard input is not a terminal"))
        .arg(flag(FORCE, "Replaces the file if it exists"))
        .arg(
            Arg::new(MESH)
                .long(MESH)
                .value_name("NAME")
                .value_parser(|text: &str| text.parse::<MeshName>())
                .default_value("trial")
                .help("Name of the mesh"),
        )
        .arg(
            Arg::new(SAMPLE)
                .long(SAMPLE)
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=MAX_SAMPLE_SERVICES))
                .conflicts_with_all([DEFAULTS, ASK])
                .help("Writes N made-up services in five data centres, for measurements"),
        )
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let draft = make_draft(matches, printer)?;
    let text = draft.to_yaml();
    let file = matches
        .get_one::<String>(FILE)
        .expect("the argument has a default");
    parse_answers(file, &text)?;
    if file == STDOUT {
        printer.print(&text);
        return Ok(());
    }
    write_file(file, &text, matches.get_flag(FORCE))?;
    let plain = format!("wrote {file}; next: bronzelb check {file}");
    printer.result(plain, &json!({"file": file, "mesh": draft.mesh}));
    Ok(())
}

fn make_draft(
    matches: &ArgMatches,
    printer: &mut OutputPrinter<'_>,
) -> Result<MeshDraft, MeshError> {
    let mesh = matches
        .get_one::<MeshName>(MESH)
        .expect("the option has a default")
        .clone();
    if let Some(count) = matches.get_one::<u64>(SAMPLE) {
        let count = usize::try_from(*count).unwrap_or(usize::MAX);
        return Ok(MeshDraft::sample(mesh, count));
    }
    let draft = MeshDraft::new(mesh);
    if matches.get_flag(DEFAULTS) {
        return Ok(draft);
    }
    let stdin = io::stdin();
    if !stdin.is_terminal() && !matches.get_flag(ASK) {
        return Err(MeshError::invalid(
            "standard input is not a terminal; use --defaults, or --ask to answer from a pipe",
        ));
    }
    ask_questions(&mut TextPrompt::new(&mut stdin.lock(), printer), draft)
}

fn write_file(file: &str, text: &str, is_forced: bool) -> Result<(), MeshError> {
    let mut options = OpenOptions::new();
    options.write(true);
    if is_forced {
        options.create(true).truncate(true);
    } else {
        options.create_new(true);
    }
    let written = options
        .open(file)
        .and_then(|mut output| output.write_all(text.as_bytes()));
    written.map_err(|error| match error.kind() {
        io::ErrorKind::AlreadyExists => MeshError::new(
            ErrorKind::Conflict,
            format!("{file} exists; use --force to replace it"),
        ),
        _ => MeshError::new(ErrorKind::LocalIo, format!("{file}: {error}")),
    })
}
