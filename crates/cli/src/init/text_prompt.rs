use std::io::{BufRead, Read};

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::output::OutputPrinter;

/// Number of attempts to answer a question before the command fails.
const MAX_TRIES: usize = 5;

/// Size limit of one line of input.
const MAX_LINE_BYTES: u64 = 4 * 1024;

/// Asks questions and reads one line of input for each.
pub(super) struct TextPrompt<'a, 'p> {
    input: &'a mut dyn BufRead,
    printer: &'a mut OutputPrinter<'p>,
}

impl<'a, 'p> TextPrompt<'a, 'p> {
    pub(super) fn new(input: &'a mut dyn BufRead, printer: &'a mut OutputPrinter<'p>) -> Self {
        Self { input, printer }
    }

    /// Repeats a question until its answer parses; an empty line selects `default`.
    pub(super) fn ask<T>(
        &mut self,
        question: &str,
        default: &str,
        parse: impl Fn(&str) -> Result<T, MeshError>,
    ) -> Result<T, MeshError> {
        for _ in 0..MAX_TRIES {
            self.printer.prompt(&format!("{question} [{default}]: "));
            let line = self.read_line()?;
            let text = match line.trim() {
                "" => default,
                text => text,
            };
            match parse(text) {
                Ok(value) => return Ok(value),
                Err(error) => self.printer.note(error.message()),
            }
        }
        Err(MeshError::invalid(format!(
            "no usable answer to {question:?} in {MAX_TRIES} tries"
        )))
    }

    fn read_line(&mut self) -> Result<String, MeshError> {
        let mut line = String::new();
        let mut input = Read::take(&mut *self.input, MAX_LINE_BYTES);
        let count = input.read_line(&mut line).map_err(|error| {
            MeshError::new(ErrorKind::LocalIo, format!("standard input: {error}"))
        })?;
        if count == 0 {
            return Err(MeshError::invalid(
                "standard input ended before the last question",
            ));
        }
        Ok(line)
    }
}
