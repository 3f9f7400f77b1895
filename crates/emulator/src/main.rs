//! Program `bronzelb-emulator`: stand-ins, load generator and experiments.

use std::process::ExitCode;

use bronzelb_emulator::command;

fn main() -> ExitCode {
    command::run(std::env::args_os())
}
