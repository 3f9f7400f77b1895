use clap::{ArgMatches, Command};

use crate::{builder::COMMANDS, error::CommandError, output::OutputPrinter};

/// A command: its name, its definition, and what it does.
#[derive(Clone, Copy, Debug)]
pub struct CommandSpec {
    /// Name on the command line.
    pub name: &'static str,
    /// Builds the definition, without the name.
    pub build: fn(Command) -> Command,
    /// Runs the command with its own matches.
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
