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
        .about("Open-loop load that checks every answer against its request")
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
                .help("Kind of request; a POST carries idempotency keys; may be repeated"),
        )
        .arg(parsed_arg("rate", "Requests a second", Some("100")))
        .arg(parsed_arg("duration", "Time that is measured", Some("5s")))
        .arg(parsed_arg(
            "warm-up",
            "Time before that, not measured",
            Some("1s"),
        ))
        .arg(parsed_arg(
            "policy",
            "random, or round-robin:RETRIES",
            Some("random"),
        ))
        .arg(parsed_arg("threads", "Threads that send", Some("1")))
        .arg(parsed_arg("seed", "Seed of every random choice", Some("1")))
        .arg(output_arg())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    let targets: Vec<SocketAddr> = many(matches, TARGET);
    let mut plan = LoadPlan::new(targets)
        .with_seed(value(matches, "seed")?)
        .with_rate(value(matches, "rate")?)
        .with_duration(value(matches, "duration")?)
        .with_warm_up(value(matches, "warm-up")?)
        .with_policy(value(matches, "policy")?);
    plan.routes = many(matches, ROUTE);
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

fn many<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}
