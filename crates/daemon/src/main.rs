//! Daemon of the bronzelb service mesh: one process beside the backend servers of each VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzelbd::command::run_daemon()
}
