use std::fmt;

use bronzelb_kernel::error::ErrorKind;
use compact_str::CompactString;

use crate::node::TextPlace;

/// One mistake in a file: where it is, what is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// Name of the file, as given by the user.
    pub file: CompactString,
    /// Where the mistake is; `None` when the file could not be read as text.
    pub place: Option<TextPlace>,
    /// Path of the mistaken field, such as `routes.landing.timeout`; empty for the whole file.
    pub field: CompactString,
    /// What is wrong, and what would be right.
    pub message: CompactString,
    /// Kind of error, which decides the exit code.
    pub kind: ErrorKind,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if let Some(place) = self.place {
            write!(f, "{place}:")?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}", self.message)
    }
}
