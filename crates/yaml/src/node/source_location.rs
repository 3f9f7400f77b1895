use std::fmt;

/// Line and column of a value in its file, both counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextPlace {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
}

impl TextPlace {
    /// First character of a file.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl fmt::Display for TextPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
