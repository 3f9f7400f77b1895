use std::{
    fs,
    path::{Path, PathBuf},
};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{
    command::arguments::{parsed_arg, value},
    experiment::{CAPACITY_PLAN, ExperimentContext, ExperimentEntry, ExperimentReport, PlannedRun},
    server::local_error,
};

const TO: &str = "to";
const ONLY: &str = "only";

const EXAMPLES: &str = "\
Examples:
  bronzelb-emulator capacity --to docs/capacity/data
  bronzelb-emulator capacity --to /tmp/data --only spread-48

Each run writes FILE.json and FILE.txt. Use release builds of all programs.";

pub(crate) fn define() -> Command {
    Command::new("capacity")
        .about("Runs the experiments of the capacity plan and writes their results")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(TO)
                .long(TO)
                .value_name("FOLDER")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Folder to write the results to"),
        )
        .arg(
            Arg::new(ONLY)
                .long(ONLY)
                .value_name("FILE")
                .help("File name of the only run to execute"),
        )
        .arg(parsed_arg(
            "seed",
            "Seed of the random number generators",
            Some("1"),
        ))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    let folder = matches
        .get_one::<PathBuf>(TO)
        .expect("clap requires the folder argument");
    let seed = value(matches, "seed")?;
    let only = matches.get_one::<String>(ONLY);
    fs::create_dir_all(folder)
        .map_err(|error| local_error(&folder.display().to_string(), &error))?;
    let selected: Vec<_> = CAPACITY_PLAN
        .iter()
        .filter(|run| only.is_none_or(|file| file == run.file))
        .collect();
    if selected.is_empty() {
        return Err(MeshError::new(
            ErrorKind::NotFound,
            format!("run {:?} does not exist", only.map_or("", String::as_str)),
        ));
    }
    for planned in selected {
        println!("{}", planned.file);
        let report = measure(planned, seed)?;
        write_report(folder, planned.file, &report)?;
    }
    Ok(())
}

fn measure(planned: &PlannedRun, seed: u64) -> Result<ExperimentReport, MeshError> {
    let context = ExperimentContext::new(seed, planned.sizes());
    (ExperimentEntry::find(planned.experiment)?.run)(&context)
}

fn write_report(folder: &Path, file: &str, report: &ExperimentReport) -> Result<(), MeshError> {
    let json = serde_json::to_string_pretty(report)
        .map_err(|error| MeshError::invalid(format!("report: {error}")))?;
    write_file(&folder.join(format!("{file}.json")), &json)?;
    write_file(&folder.join(format!("{file}.txt")), &report.to_string())
}

fn write_file(path: &Path, text: &str) -> Result<(), MeshError> {
    fs::write(path, text).map_err(|error| local_error(&path.display().to_string(), &error))
}
