use std::fmt;

/// One-based line and column in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceLocation {
    /// One-based line.
    pub line: usize,
    /// One-based column in characters.
    pub column: usize,
}

impl SourceLocation {
    /// Start of a file.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
