//! Daemon of the bronzelb service mesh; one process runs on each VM next to its backend servers.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzelbd::command::run_daemon()
}
