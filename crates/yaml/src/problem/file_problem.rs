use std::fmt;

use bronzelb_kernel::error::ErrorKind;
use compact_str::CompactString;

use crate::node::SourceLocation;

/// A problem in a file: its location, its cause and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// Name of the file, as given by the user.
    pub file: CompactString,
    /// Location of the problem; `None` if the file could not be read as text.
    pub location: Option<SourceLocation>,
    /// Path of the affected field, such as `routes.landing.timeout`; empty for the whole file.
    pub field: CompactString,
    /// Cause of the problem and how to fix it.
    pub message: CompactString,
    /// Error kind, which determines the exit code.
    pub kind: ErrorKind,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if let Some(location) = self.location {
            write!(f, "{location}:")?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}", self.message)
    }
}
