use bronzelb_kernel::error::MeshError;
use clap::{ArgMatches, Command};

use crate::{
    command::arguments::{address_arg, value},
    platform,
};

pub(crate) fn define() -> Command {
    Command::new("platform")
        .about("Stand-in for the platform's table service and object store, in memory")
        .arg(address_arg(
            "listen",
            "Address of the table and the objects",
        ))
        .arg(address_arg("control", "Address of the faults and counters"))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    platform::serve(value(matches, "listen")?, value(matches, "control")?)
}
