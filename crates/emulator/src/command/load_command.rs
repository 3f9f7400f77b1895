use std::net::SocketAddr;

use bronzelb_kernel::error::{ErrorKind, MeshError};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{
    command::{
        arguments::{parsed_arg, value},
        experiment_command::{is_json, output_arg},
    },
    load::{LoadPlan, LoadRoute, run_load_threads},
};

const TARGET: &str = "target";
const ROUTE: &str = "route";

const EXAMPLES: &str = "\
Examples:
  bronzelb-emulator load --target 127.0.1.1:8080 --route \"GET /positions\" --rate 500
  bronzelb-emulator load --target 127.0.0.1:4711 --target 127.0.0.1:4712 \\
      --policy round-robin:3 --route \"GET /positions 9 250\" --route \"POST /dispatches 1\"";

pub(crate) fn define() -> Command {
    Command::new("load")
        .about("Generates open-loop load and checks each response against its request")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(TARGET)
                .long(TARGET)
                .value_name("ADDRESS")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of a node, or of a backend server for a baseline; may be repeated"),
        )
        .arg(
            Arg::new(ROUTE)
                .long(ROUTE)
                .value_name("METHOD PATH [WEIGHT [DEADLINE_MS]]")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<LoadRoute>())
                .help("Request type; POST requests carry idempotency keys; may be repeated"),
        )
        .arg(parsed_arg("rate", "Requests per second", Some("100")))
        .arg(parsed_arg(
            "duration",
            "Duration of the measurement",
            Some("5s"),
        ))
        .arg(parsed_arg(
            "warm-up",
            "Duration of the unmeasured load before the measurement",
            Some("1s"),
        ))
        .arg(parsed_arg(
            "policy",
            "Target selection: random, or round-robin:RETRIES",
            Some("random"),
        ))
        .arg(parsed_arg(
            "threads",
            "Number of sending threads",
            Some("1"),
        ))
        .arg(parsed_arg(
            "seed",
            "Seed of the random number generators",
            Some("1"),
        ))
        .arg(output_arg())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    let targets: Vec<SocketAddr> = values(matches, TARGET);
    let mut plan = LoadPlan::new(targets)
        .with_seed(value(matches, "seed")?)
        .with_rate(value(matches, "rate")?)
        .with_duration(value(matches, "duration")?)
        .with_warm_up(value(matches, "warm-up")?)
        .with_policy(value(matches, "policy")?);
    plan.routes = values(matches, ROUTE);
    let report = run_load_threads(&plan, value(matches, "threads")?)?;
    if is_json(matches) {
        let text = serde_json::to_string(&report)
            .map_err(|error| MeshError::new(ErrorKind::Invalid, format!("report: {error}")))?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Returns all values of a repeatable argument.
fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}
