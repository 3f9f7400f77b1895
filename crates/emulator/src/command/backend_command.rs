use std::path::PathBuf;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError, ids::SlotCount};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{
    backend::{self, BackendSettings},
    command::arguments::{address_arg, optional_address_arg, optional_value, parsed_arg, value},
};

pub(crate) fn define() -> Command {
    Command::new("backend")
        .about("Runs a stand-in for a vendor's backend server, announced to the co-located node")
        .arg(parsed_arg("name", "Name of the server", None))
        .arg(parsed_arg(
            "service",
            "Service that the server implements",
            None,
        ))
        .arg(parsed_arg(
            "version",
            "Software version that the server reports",
            Some("v1"),
        ))
        .arg(address_arg(
            "listen",
            "Listen address for requests and reports",
        ))
        .arg(optional_address_arg(
            "advertise",
            "Address to announce instead of the listen address",
        ))
        .arg(address_arg(
            "control",
            "Listen address of the control interface for faults and the tally",
        ))
        .arg(optional_address_arg(
            "node",
            "Operators' listener of the co-located node",
        ))
        .arg(optional_address_arg(
            "callers",
            "Callers' listener of a node, for chained calls",
        ))
        .arg(parsed_arg(
            "slots",
            "Number of requests that run concurrently",
            Some("12"),
        ))
        .arg(parsed_arg(
            "connections",
            "Number of connections to announce as the limit",
            Some("110"),
        ))
        .arg(parsed_arg(
            "queue",
            "Number of requests that can wait for a slot",
            Some("100"),
        ))
        .arg(parsed_arg(
            "service-time",
            "Time that a request occupies a slot",
            Some("2ms"),
        ))
        .arg(parsed_arg(
            "cold-time",
            "Duration of the cold phase after startup",
            Some("0ms"),
        ))
        .arg(parsed_arg(
            "cold-latency",
            "Additional time per request during the cold phase",
            Some("0ms"),
        ))
        .arg(parsed_arg(
            "start-time",
            "Time from startup until the server announces itself as serving",
            Some("0ms"),
        ))
        .arg(parsed_arg(
            "drain-time",
            "Maximum time to wait for requests in flight when draining",
            Some("10s"),
        ))
        .arg(
            Arg::new("journal")
                .long("journal")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Journal file, to which each run is appended before it starts"),
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
        advertise: optional_value(matches, "advertise")?,
        control: value(matches, "control")?,
        node: optional_value(matches, "node")?,
        callers: optional_value(matches, "callers")?,
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
