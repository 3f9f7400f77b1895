use bronzelb_answers::read_answers;
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{
    builder::{CommandSpec, answers_arg, answers_path},
    error::CommandError,
    output::OutputPrinter,
};

pub(crate) const GENERATE_COMMAND: CommandSpec = CommandSpec {
    name: "generate",
    build,
    run,
};

const PRETTY: &str = "pretty";

const EXAMPLES: &str = "\
Examples:
  bronzelb generate answers.yaml > config.json
  bronzelb generate answers.yaml --pretty | less

The same answers give the same bytes on every machine.";

fn build(command: Command) -> Command {
    command
        .about("Prints the configuration that answers ask for")
        .after_help(EXAMPLES)
        .arg(answers_arg())
        .arg(
            Arg::new(PRETTY)
                .long("pretty")
                .action(ArgAction::SetTrue)
                .help("Indents the JSON; without it the output is what a node receives"),
        )
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let snapshot = read_answers(answers_path(matches))?;
    if matches.get_flag(PRETTY) {
        let text = serde_json::to_string_pretty(&snapshot)
            .expect("a snapshot holds only serializable types");
        printer.print(&text);
        printer.print("\n");
    } else {
        printer.print_bytes(&snapshot.to_bytes());
    }
    Ok(())
}
