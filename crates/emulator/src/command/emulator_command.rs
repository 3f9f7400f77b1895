use std::{ffi::OsString, process::ExitCode};

use bronzelb_kernel::error::MeshError;
use clap::{ArgMatches, Command};

use crate::command::{
    backend_command, capacity_command, experiment_command, load_command, platform_command,
    proxy_command, soak_command, try_command,
};

/// Argument definition and entry point of a subcommand.
struct Subcommand {
    define: fn() -> Command,
    run: fn(&ArgMatches) -> Result<(), MeshError>,
}

const SUBCOMMANDS: [Subcommand; 8] = [
    Subcommand {
        define: backend_command::define,
        run: backend_command::run,
    },
    Subcommand {
        define: capacity_command::define,
        run: capacity_command::run,
    },
    Subcommand {
        define: experiment_command::define,
        run: experiment_command::run,
    },
    Subcommand {
        define: load_command::define,
        run: load_command::run,
    },
    Subcommand {
        define: platform_command::define,
        run: platform_command::run,
    },
    Subcommand {
        define: proxy_command::define,
        run: proxy_command::run,
    },
    Subcommand {
        define: soak_command::define,
        run: soak_command::run,
    },
    Subcommand {
        define: try_command::define,
        run: try_command::run,
    },
];

/// Runs the program with `args`, which start with the program name, and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = define().get_matches_from(args);
    let Some((name, sub_matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let subcommand = SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.define)().get_name() == name)
        .expect("clap accepts only defined subcommands");
    match (subcommand.run)(sub_matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bronzelb-emulator {name}: {error}");
            ExitCode::from(error.kind().response().exit_code)
        }
    }
}

fn define() -> Command {
    Command::new("bronzelb-emulator")
        .version(clap::crate_version!())
        .about("Stand-ins for the platform and backend servers, load generator and experiments")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(SUBCOMMANDS.iter().map(|subcommand| (subcommand.define)()))
}
