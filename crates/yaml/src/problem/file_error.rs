use std::fmt;

use bronzelb_kernel::error::ErrorKind;

use crate::problem::FileProblem;

/// Number of mistakes that are shown; the others are counted.
const MAX_SHOWN: usize = 50;

/// A file that cannot be used, with every mistake in it.
///
/// Displays one line for each mistake, in the file's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    problems: Vec<FileProblem>,
}

impl FileError {
    /// Builds an error from the mistakes of a file, of which there is at least one.
    #[must_use]
    pub fn new(problems: Vec<FileProblem>) -> Self {
        debug_assert!(!problems.is_empty(), "an error needs a problem");
        Self { problems }
    }

    /// Returns every mistake.
    #[must_use]
    pub fn problems(&self) -> &[FileProblem] {
        &self.problems
    }

    /// Returns the kind of the first mistake.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.problems
            .first()
            .map_or(ErrorKind::Invalid, |problem| problem.kind)
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().take(MAX_SHOWN).enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        match self.problems.len().saturating_sub(MAX_SHOWN) {
            0 => Ok(()),
            hidden => write!(f, "\n(and {hidden} more)"),
        }
    }
}

impl std::error::Error for FileError {}
