use bronzelb_kernel::error::MeshError;
use clap::{ArgMatches, Command};

use crate::{
    command::arguments::{address_arg, value},
    platform,
};

pub(crate) fn define() -> Command {
    Command::new("platform")
        .about("Runs an in-memory stand-in for the platform's table service and object store")
        .arg(address_arg(
            "listen",
            "Listen address of the table service and the object store",
        ))
        .arg(address_arg(
            "control",
            "Listen address of the control interface for faults and counters",
        ))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    platform::serve(value(matches, "listen")?, value(matches, "control")?)
}
