use std::cell::RefCell;

use bronzelb_kernel::error::ErrorKind;
use compact_str::CompactString;

use crate::{node::TextPlace, problem::FileProblem};

/// Every mistake that was found in one file so far.
///
/// Readers share a list by reference and note mistakes in it while they go on reading.
#[derive(Debug)]
pub struct ProblemList {
    file: CompactString,
    problems: RefCell<Vec<FileProblem>>,
}

impl ProblemList {
    /// Builds an empty list for `file`, which names the file in messages.
    pub fn new(file: impl Into<CompactString>) -> Self {
        Self {
            file: file.into(),
            problems: RefCell::default(),
        }
    }

    /// Notes a mistake at `place` in `field`.
    pub fn push(
        &self,
        place: TextPlace,
        field: impl Into<CompactString>,
        message: impl Into<CompactString>,
    ) {
        self.push_problem(FileProblem {
            file: self.file.clone(),
            place: Some(place),
            field: field.into(),
            message: message.into(),
            kind: ErrorKind::Invalid,
        });
    }

    /// Notes a mistake of the file as a whole.
    pub fn push_whole(&self, kind: ErrorKind, message: impl Into<CompactString>) {
        self.push_problem(FileProblem {
            file: self.file.clone(),
            place: None,
            field: CompactString::default(),
            message: message.into(),
            kind,
        });
    }

    /// Returns whether no mistake was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.problems.borrow().is_empty()
    }

    /// Returns whether a mistake was noted in `field` or in a field below it.
    #[must_use]
    pub fn covers(&self, field: &str) -> bool {
        self.problems
            .borrow()
            .iter()
            .any(|problem| is_within(&problem.field, field))
    }

    /// Returns every mistake in the file's order.
    #[must_use]
    pub fn into_sorted(self) -> Vec<FileProblem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.place);
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
