use std::{fmt, path::PathBuf, process::ExitCode};

use bronzelb_kernel::error::ErrorKind;

use crate::{
    command::daemon_command,
    node::run_node,
    settings::{NodeSettings, read_settings},
};

/// Runs the daemon with the process's arguments and returns its exit code.
///
/// The exit code is zero after a graceful shutdown; otherwise the kernel's error table defines it.
#[must_use]
pub fn run_daemon() -> ExitCode {
    let matches = daemon_command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the settings argument is required");
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(error) => return fail(error.kind(), &error),
    };
    if matches.get_flag("check-settings") {
        print_summary(&settings);
        return ExitCode::SUCCESS;
    }
    match run_node(settings, path.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error.kind(), &format_args!("bronzelbd: {error}")),
    }
}

fn print_summary(settings: &NodeSettings) {
    println!(
        "valid: node {} of mesh {} in data centre {}",
        settings.node, settings.mesh, settings.data_centre
    );
}

fn fail(kind: ErrorKind, message: &impl fmt::Display) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(kind.response().exit_code)
}
