use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::{
    builder::{CommandSpec, build_root},
    error::CommandError,
    output::OutputPrinter,
};

pub(crate) const COMPLETIONS_COMMAND: CommandSpec = CommandSpec {
    name: "completions",
    build,
    run,
};

const SHELL: &str = "shell";
const PROGRAM: &str = "bronzelb";

const EXAMPLES: &str = "\
Examples:
  bronzelb completions bash > /etc/bash_completion.d/bronzelb
  bronzelb completions zsh > ~/.zfunc/_bronzelb";

fn build(command: Command) -> Command {
    command
        .about("Prints completions for a shell")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(SHELL)
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .required(true)
                .help("Shell that reads the completions"),
        )
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let shell = matches
        .get_one::<Shell>(SHELL)
        .expect("the argument is required");
    let mut script = Vec::new();
    generate(*shell, &mut build_root(), PROGRAM, &mut script);
    printer.print_bytes(&script);
    Ok(())
}
