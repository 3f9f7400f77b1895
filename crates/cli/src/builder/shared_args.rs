use std::path::{Path, PathBuf};

use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use clap::{Arg, ArgMatches, value_parser};

use crate::platform::wall_clock;

const ANSWERS: &str = "answers";
const TIMEOUT: &str = "timeout";

/// Builds the argument for the path of the answers file.
pub(crate) fn answers_arg() -> Arg {
    Arg::new(ANSWERS)
        .value_name("ANSWERS")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("YAML file with the answers")
}

/// Returns the path of the answers file.
pub(crate) fn answers_path(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>(ANSWERS)
        .expect("the argument is required")
}

/// Builds the option for the command's timeout.
pub(crate) fn timeout_arg(default: &'static str) -> Arg {
    Arg::new(TIMEOUT)
        .long("timeout")
        .value_name("TIME")
        .value_parser(|text: &str| text.parse::<TimeBudget>())
        .default_value(default)
        .help("Time after which the command gives up, such as 500ms, 30s or 2m")
}

/// Returns the instant at which the command times out.
pub(crate) fn timeout_deadline(matches: &ArgMatches) -> ClockInstant {
    let budget = matches
        .get_one::<TimeBudget>(TIMEOUT)
        .expect("the option has a default");
    wall_clock().after(*budget)
}
