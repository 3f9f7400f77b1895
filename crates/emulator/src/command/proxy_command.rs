use bronzelb_kernel::error::MeshError;
use clap::{ArgMatches, Command};

use crate::{
    command::arguments::{address_arg, value},
    proxy,
};

pub(crate) fn define() -> Command {
    Command::new("fault-proxy")
        .about("TCP proxy that cuts, stalls, delays, throttles, truncates and duplicates traffic")
        .arg(address_arg(
            "control",
            "Listen address of the control interface for listeners, rules and counters",
        ))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    proxy::serve(value(matches, "control")?)
}
