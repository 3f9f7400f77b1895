use std::path::PathBuf;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError, ids::SlotCount};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{
    backend::{self, BackendSettings},
    command::arguments::{address_arg, optional, optional_address_arg, parsed_arg, value},
};

pub(crate) fn define() -> Command {
    Command::new("backend")
        .about("Stand-in for a vendor's backend server, announced to the node beside it")
        .arg(parsed_arg("name", "Name of the server", None))
        .arg(parsed_arg("service", "Service that it runs", None))
        .arg(parsed_arg(
            "version",
            "Version that it claims to run",
            Some("v1"),
        ))
        .arg(address_arg("listen", "Address of the requests and reports"))
        .arg(optional_address_arg(
            "advertise",
            "Address to announce in place of the listener's",
        ))
        .arg(address_arg(
            "control",
            "Address of the faults and the tally",
        ))
        .arg(optional_address_arg(
            "node",
            "Operators' listener of the node beside it",
        ))
        .arg(optional_address_arg(
            "callers",
            "Callers' listener of a node, for chains of calls",
        ))
        .arg(parsed_arg("slots", "Requests that run at once", Some("12")))
        .arg(parsed_arg(
            "connections",
            "Connections that it accepts",
            Some("110"),
        ))
        .arg(parsed_arg(
            "queue",
            "Requests that wait for a slot",
            Some("100"),
        ))
        .arg(parsed_arg(
            "service-time",
            "Time that a request occupies a slot",
            Some("2ms"),
        ))
        .arg(parsed_arg(
            "cold-time",
            "Time after the start with slow requests",
            Some("0ms"),
        ))
        .arg(parsed_arg(
            "cold-latency",
            "Time that a slow request takes more",
            Some("0ms"),
        ))
        .arg(parsed_arg(
            "start-time",
            "Time until it announces itself as serving",
            Some("0ms"),
        ))
        .arg(parsed_arg(
            "drain-time",
            "Longest wait for requests in flight",
            Some("10s"),
        ))
        .arg(
            Arg::new("journal")
                .long("journal")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File to which each run is appended before it starts"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    let slots: SlotCount = value(matches, "slots")?;
    let service_time: TimeBudget = value(matches, "service-time")?;
    backend::serve(BackendSettings {
        name: value(matches, "name")?,
        service: value(matches, "service")?,
        version: value(matches, "version")?,
        listen: value(matches, "listen")?,
        advertise: optional(matches, "advertise")?,
        control: value(matches, "control")?,
        node: optional(matches, "node")?,
        callers: optional(matches, "callers")?,
        slots,
        connections: value(matches, "connections")?,
        queue: value(matches, "queue")?,
        service_time,
        cold_time: value(matches, "cold-time")?,
        cold_latency: value(matches, "cold-latency")?,
        start_time: value(matches, "start-time")?,
        drain_time: value(matches, "drain-time")?,
        journal: matches.get_one::<PathBuf>("journal").cloned(),
    })
}
