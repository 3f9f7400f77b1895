//! Command-line tool of the bronzelb service mesh.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzelb::run_process()
}
