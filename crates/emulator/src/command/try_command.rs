use bronzelb_kernel::error::MeshError;
use clap::{ArgMatches, Command};

use crate::trial;

const DETAILS: &str = "\
Everything runs as separate processes on loopback addresses and ends with the command. The \
programs have to be built: cargo build --workspace.";

pub(crate) fn define() -> Command {
    Command::new("try")
        .about("Brings up a small mesh, uses it, prints an account and cleans up")
        .after_help(DETAILS)
}

pub(crate) fn run(_matches: &ArgMatches) -> Result<(), MeshError> {
    trial::run_trial()
}
