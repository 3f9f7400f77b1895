use std::io::Write;

use bronzelb_yaml::problem::FileProblem;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{error::CommandError, output::OutputFormat};

/// Writes a command's result to standard output, and notes and errors to standard error.
///
/// Write errors are ignored: a closed stream, as after `| head`, drops the rest of the output.
pub struct OutputPrinter<'a> {
    stdout: &'a mut dyn Write,
    stderr: &'a mut dyn Write,
    format: OutputFormat,
}

impl<'a> OutputPrinter<'a> {
    /// Builds a printer that writes results to `stdout`, and notes and errors to `stderr`.
    pub fn new(stdout: &'a mut impl Write, stderr: &'a mut impl Write) -> Self {
        Self {
            stdout,
            stderr,
            format: OutputFormat::default(),
        }
    }

    /// Sets the format of the output.
    pub const fn set_format(&mut self, format: OutputFormat) {
        self.format = format;
    }

    /// Returns the format of the output.
    #[must_use]
    pub const fn format(&self) -> OutputFormat {
        self.format
    }

    /// Prints `text` unchanged.
    pub fn print(&mut self, text: &str) {
        self.print_bytes(text.as_bytes());
    }

    /// Prints bytes unchanged.
    pub fn print_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stdout.write_all(bytes);
        let _ = self.stdout.flush();
    }

    /// Prints a result: `plain`, or `document` as one line of JSON, depending on the format.
    pub fn result(&mut self, plain: impl AsRef<str>, document: &impl Serialize) {
        match self.format {
            OutputFormat::Plain => self.print(&with_line_end(plain.as_ref())),
            OutputFormat::Json => self.print(&with_line_end(&to_json(document))),
        }
    }

    /// Prints a note to standard error.
    pub fn note(&mut self, text: &str) {
        let _ = self.stderr.write_all(with_line_end(text).as_bytes());
    }

    /// Prints a question to standard error, without a line end.
    pub(crate) fn prompt(&mut self, text: &str) {
        let _ = self.stderr.write_all(text.as_bytes());
        let _ = self.stderr.flush();
    }

    pub(crate) fn fail(&mut self, error: &CommandError) {
        match self.format {
            OutputFormat::Plain => self.note(&format!("error: {}", describe(error))),
            OutputFormat::Json => self.note(&to_json(&error_document(error))),
        }
    }
}

/// Formats an error; several mistakes in a file follow a line with their number.
fn describe(error: &CommandError) -> String {
    match error {
        CommandError::File { source } if source.problems().len() > 1 => {
            format!("{} mistakes\n{error}", source.problems().len())
        }
        _ => error.to_string(),
    }
}

fn with_line_end(text: &str) -> String {
    format!("{}\n", text.trim_end_matches('\n'))
}

fn to_json(document: &impl Serialize) -> String {
    serde_json::to_string(document).expect("output holds only serializable types")
}

fn error_document(error: &CommandError) -> Value {
    let problems: Vec<_> = match error {
        CommandError::File { source } => source.problems().iter().map(problem_document).collect(),
        _ => Vec::new(),
    };
    json!({
        "error": error.kind(),
        "exit_code": error.exit_code(),
        "message": error.to_string(),
        "problems": problems,
    })
}

fn problem_document(problem: &FileProblem) -> Value {
    json!({
        "file": problem.file,
        "line": problem.location.map(|location| location.line),
        "column": problem.location.map(|location| location.column),
        "field": problem.field,
        "message": problem.message,
    })
}
