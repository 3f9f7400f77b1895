use clap::{ArgMatches, Command};

use crate::{builder::COMMANDS, error::CommandError, output::OutputPrinter};

/// Name, definition and implementation of a command.
#[derive(Clone, Copy, Debug)]
pub struct CommandSpec {
    /// Name on the command line.
    pub name: &'static str,
    /// Adds the definition to a command that has only a name.
    pub build: fn(Command) -> Command,
    /// Runs the command with the matches of its subcommand.
    pub run: fn(&ArgMatches, &mut OutputPrinter<'_>) -> Result<(), CommandError>,
}

impl CommandSpec {
    /// Returns the command called `name`.
    #[must_use]
    pub fn find(name: &str) -> Option<&'static Self> {
        COMMANDS.iter().find(|spec| spec.name == name)
    }

    pub(crate) fn to_command(self) -> Command {
        (self.build)(Command::new(self.name))
    }
}
