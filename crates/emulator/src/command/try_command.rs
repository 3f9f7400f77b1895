use bronzelb_kernel::error::MeshError;
use clap::{ArgMatches, Command};

use crate::trial;

const DETAILS: &str = "\
All processes run on loopback addresses and end with the command. The programs must be built \
first: cargo build --workspace.";

pub(crate) fn define() -> Command {
    Command::new("try")
        .about("Starts a small mesh, demonstrates it and stops it")
        .after_help(DETAILS)
}

pub(crate) fn run(_matches: &ArgMatches) -> Result<(), MeshError> {
    trial::run_trial()
}
