//! Runs commands in the test process, with an in-memory platform.

pub(crate) mod fake_node;
pub(crate) mod memory_platform;

use bronzelb::output::OutputPrinter;

/// Result of a command.
#[derive(Debug)]
pub(crate) struct CommandRun {
    /// Exit code.
    pub(crate) code: u8,
    /// Text on standard output.
    pub(crate) stdout: String,
    /// Text on standard error.
    pub(crate) stderr: String,
}

/// Runs `bronzelb` with `args`.
pub(crate) fn run(args: &[&str]) -> CommandRun {
    let mut stdout = Vec::new();
    let mut stderr = Vec::new();
    let code = {
        let mut printer = OutputPrinter::new(&mut stdout, &mut stderr);
        let line = std::iter::once("bronzelb").chain(args.iter().copied());
        bronzelb::run(line, &mut printer)
    };
    CommandRun {
        code,
        stdout: String::from_utf8(stdout).expect("output is UTF-8"),
        stderr: String::from_utf8(stderr).expect("output is UTF-8"),
    }
}

/// Returns the path of an example's answers.
pub(crate) fn example(name: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    format!("{root}/../../examples/{name}/answers.yaml")
}
