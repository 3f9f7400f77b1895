use std::cell::RefCell;

use bronzelb_kernel::error::ErrorKind;
use compact_str::CompactString;

use crate::{node::SourceLocation, problem::FileProblem};

/// Problems found in one file.
///
/// Readers share a list by reference, add problems to it and continue reading.
#[derive(Debug)]
pub struct ProblemList {
    file: CompactString,
    problems: RefCell<Vec<FileProblem>>,
}

impl ProblemList {
    /// Creates an empty list; messages refer to the file as `file`.
    pub fn new(file: impl Into<CompactString>) -> Self {
        Self {
            file: file.into(),
            problems: RefCell::default(),
        }
    }

    /// Adds a problem with `field` at `location`.
    pub fn push(
        &self,
        location: SourceLocation,
        field: impl Into<CompactString>,
        message: impl Into<CompactString>,
    ) {
        self.push_problem(FileProblem {
            file: self.file.clone(),
            location: Some(location),
            field: field.into(),
            message: message.into(),
            kind: ErrorKind::Invalid,
        });
    }

    /// Adds a problem with the file as a whole.
    pub fn push_file_problem(&self, kind: ErrorKind, message: impl Into<CompactString>) {
        self.push_problem(FileProblem {
            file: self.file.clone(),
            location: None,
            field: CompactString::default(),
            message: message.into(),
            kind,
        });
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.problems.borrow().is_empty()
    }

    /// Returns whether the list has a problem with `field` or one of its descendants.
    #[must_use]
    pub fn has_problem_within(&self, field: &str) -> bool {
        self.problems
            .borrow()
            .iter()
            .any(|problem| is_within(&problem.field, field))
    }

    /// Returns all problems in file order.
    #[must_use]
    pub fn into_sorted(self) -> Vec<FileProblem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.location);
        problems
    }

    fn push_problem(&self, problem: FileProblem) {
        self.problems.borrow_mut().push(problem);
    }
}

fn is_within(field: &str, parent: &str) -> bool {
    field
        .strip_prefix(parent)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}
