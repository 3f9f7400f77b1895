use std::{env, ffi::OsString, io, process::ExitCode};

use clap::ArgMatches;

use crate::{
    builder::{self, CommandSpec},
    error::CommandError,
    output::{OutputFormat, OutputPrinter},
};

/// Exit code for a command line that cannot be parsed.
const USAGE_EXIT_CODE: u8 = 2;

/// Runs the command line of this process with its standard streams.
#[must_use]
pub fn run_process() -> ExitCode {
    let (mut stdout, mut stderr) = (io::stdout(), io::stderr());
    let mut printer = OutputPrinter::new(&mut stdout, &mut stderr);
    ExitCode::from(run(env::args_os(), &mut printer))
}

/// Runs a command line and returns the exit code; the first argument is the program's name.
#[must_use]
pub fn run(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    printer: &mut OutputPrinter<'_>,
) -> u8 {
    match builder::build_root().try_get_matches_from(args) {
        Ok(matches) => run_matches(&matches, printer),
        Err(error) if error.use_stderr() => {
            printer.note(&error.to_string());
            USAGE_EXIT_CODE
        }
        Err(error) => {
            printer.print(&error.to_string());
            0
        }
    }
}

fn run_matches(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> u8 {
    printer.set_format(OutputFormat::from_matches(matches));
    let (name, matches) = matches.subcommand().expect("a command is required");
    let spec = CommandSpec::find(name).expect("every command is in the list");
    match (spec.run)(matches, printer) {
        Ok(()) => 0,
        Err(error) => {
            printer.fail(&error);
            error.exit_code()
        }
    }
}

impl From<CommandError> for ExitCode {
    fn from(error: CommandError) -> Self {
        Self::from(error.exit_code())
    }
}
