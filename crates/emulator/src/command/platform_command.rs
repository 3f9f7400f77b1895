use std::net::SocketAddr;

use bronzelb_kernel::error::MeshError;
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::platform;

const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

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
    platform::serve(address(matches, "listen"), address(matches, "control"))
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .default_value(ANY_LOOPBACK_PORT)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn address(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches
        .get_one(name)
        .expect("the argument has a default value")
}
