use std::fmt;

use bronzelb_kernel::error::ErrorKind;

use crate::problem::FileProblem;

/// Maximum number of problems that are displayed; the rest are only counted.
const MAX_DISPLAYED_PROBLEMS: usize = 50;

/// Error for an unusable file, with all problems found in it.
///
/// Displays one line per problem, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    problems: Vec<FileProblem>,
}

impl FileError {
    /// Creates an error from a non-empty list of problems.
    #[must_use]
    pub fn new(problems: Vec<FileProblem>) -> Self {
        debug_assert!(
            !problems.is_empty(),
            "a file error needs at least one problem"
        );
        Self { problems }
    }

    /// Returns all problems.
    #[must_use]
    pub fn problems(&self) -> &[FileProblem] {
        &self.problems
    }

    /// Returns the kind of the first problem.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.problems
            .first()
            .map_or(ErrorKind::Invalid, |problem| problem.kind)
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self
            .problems
            .iter()
            .take(MAX_DISPLAYED_PROBLEMS)
            .enumerate()
        {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        match self.problems.len().saturating_sub(MAX_DISPLAYED_PROBLEMS) {
            0 => Ok(()),
            hidden => write!(f, "\n(and {hidden} more)"),
        }
    }
}

impl std::error::Error for FileError {}
