use bronzelb_kernel::error::{ErrorKind, MeshError};
use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser};

use crate::{
    command::arguments::{parsed_arg, value},
    experiment::{ExperimentContext, ExperimentEntry, SizeSetting},
};

const NAME: &str = "name";
const SIZE: &str = "size";
const OUTPUT: &str = "output";

const EXAMPLES: &str = "\
Examples:
  bronzelb-emulator experiment
  bronzelb-emulator experiment platform-calls --seed 7 --size calls=200 --output json

Without a name, the command lists all experiments.";

pub(crate) fn define() -> Command {
    Command::new("experiment")
        .about("Runs an experiment and prints its results with seed and sizes")
        .after_help(EXAMPLES)
        .arg(Arg::new(NAME).value_name("NAME").help("Experiment to run"))
        .arg(parsed_arg(
            "seed",
            "Seed of the random number generators",
            Some("1"),
        ))
        .arg(
            Arg::new(SIZE)
                .long(SIZE)
                .value_name("NAME=NUMBER")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<SizeSetting>())
                .help("Overrides a default size of the experiment; may be repeated"),
        )
        .arg(output_arg())
}

/// Defines the argument that selects plain text or JSON output.
pub(crate) fn output_arg() -> Arg {
    Arg::new(OUTPUT)
        .long(OUTPUT)
        .value_name("FORMAT")
        .default_value("plain")
        .value_parser(PossibleValuesParser::new(["plain", "json"]))
        .help("Output format")
}

/// Returns whether JSON output is selected.
pub(crate) fn is_json(matches: &ArgMatches) -> bool {
    matches
        .get_one::<String>(OUTPUT)
        .is_some_and(|format| format == "json")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    let Some(name) = matches.get_one::<String>(NAME) else {
        for experiment in ExperimentEntry::all() {
            println!("{:<24} {}", experiment.name, experiment.about);
        }
        return Ok(());
    };
    let sizes = matches
        .get_many::<SizeSetting>(SIZE)
        .into_iter()
        .flatten()
        .cloned();
    let context = ExperimentContext::new(value(matches, "seed")?, sizes);
    let report = (ExperimentEntry::find(name)?.run)(&context)?;
    if is_json(matches) {
        let text = serde_json::to_string(&report)
            .map_err(|error| MeshError::new(ErrorKind::Invalid, format!("report: {error}")))?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(())
}
