use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};
use clap::{Arg, ArgMatches, Command};

use crate::{
    command::arguments::{parsed_arg, value},
    soak::{SoakPlan, SoakRun},
};

const KEEP: &str = "keep";

const DETAILS: &str = "\
Starts a mesh of real processes, sends calls, and kills, pauses, stops, partitions and delays its
processes according to a plan generated from the seed. Each run prints a summary line, followed by
the violated invariants. The programs must be built first: cargo build --workspace.

Examples:
  bronzelb-emulator soak --seed 1 --runs 50 --length 15s --keep /tmp/soak";

pub(crate) fn define() -> Command {
    Command::new("soak")
        .about("Runs a mesh under random faults and checks its invariants")
        .after_help(DETAILS)
        .arg(parsed_arg("seed", "Seed of the first run", Some("1")))
        .arg(parsed_arg(
            "runs",
            "Number of runs, with consecutive seeds",
            Some("1"),
        ))
        .arg(parsed_arg(
            "length",
            "Duration of the load in each run",
            Some("15s"),
        ))
        .arg(parsed_arg("centres", "Number of data centres", Some("3")))
        .arg(parsed_arg(
            "nodes",
            "Number of nodes per data centre",
            Some("2"),
        ))
        .arg(
            Arg::new(KEEP)
                .long(KEEP)
                .value_name("FOLDER")
                .help("Folder to keep the logs of failed runs in"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), MeshError> {
    let (first_seed, run_count): (u64, u64) = (value(matches, "seed")?, value(matches, "runs")?);
    let length: TimeBudget = value(matches, "length")?;
    let (centres, nodes): (u8, u8) = (value(matches, "centres")?, value(matches, "nodes")?);
    let mut failed = 0;
    for seed in first_seed..first_seed.saturating_add(run_count) {
        let mut run = SoakRun::new(SoakPlan::generate(seed, length, centres, nodes));
        if let Some(folder) = matches.get_one::<String>(KEEP) {
            run = run.with_failure_logs(folder);
        }
        let report = actix_web::rt::System::new().block_on(run.run())?;
        println!("{report}");
        failed += u64::from(!report.violations.is_empty());
    }
    if failed == 0 {
        return Ok(());
    }
    Err(MeshError::new(
        ErrorKind::BackendFailed,
        format!("{failed} of {run_count} runs violated an invariant"),
    ))
}
