use std::{path::PathBuf, process::ExitCode};

use bronzelb_kernel::error::MeshError;

use crate::{command::daemon_command, node::run_node, settings::read_settings};

/// Runs the daemon with the process's arguments and returns its exit code.
///
/// The exit code is zero after a graceful shutdown, and otherwise the one that the kernel's table
/// of errors gives for the failure.
#[must_use]
pub fn run_daemon() -> ExitCode {
    let matches = daemon_command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the settings argument is required");
    let result = read_settings(path).and_then(|settings| {
        if matches.get_flag("check-settings") {
            return Ok(());
        }
        run_node(settings)
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &MeshError) -> ExitCode {
    eprintln!("bronzelbd: {error}");
    ExitCode::from(error.kind().answer().exit_code)
}
