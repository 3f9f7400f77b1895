use std::fmt;

use serde::Serialize;

/// Figures measured by an experiment, with its seed and sizes.
///
/// `Display` prints a plain-text table; the JSON form has the same content.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub name: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Sizes that determine the figures.
    pub sizes: Vec<ReportSize>,
    /// Column names, with their units.
    pub columns: Vec<String>,
    /// Measured rows.
    pub rows: Vec<ReportRow>,
    /// Notes on how to read the figures.
    pub remarks: Vec<String>,
}

/// Numeric parameter, such as a node count or a duration, that determines the figures of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReportSize {
    /// Name of the size.
    pub name: String,
    /// Value of the size.
    pub value: u64,
}

/// Row of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportRow {
    /// Cells in the order of the columns.
    pub cells: Vec<ReportCell>,
}

/// Cell of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum ReportCell {
    /// Text, such as a name.
    Text(String),
    /// Integer.
    Count(u64),
    /// Measured quantity, printed with three decimals.
    Quantity(f64),
}

impl ExperimentReport {
    /// Creates a report without rows.
    pub fn new(
        name: impl Into<String>,
        seed: u64,
        columns: impl IntoIterator<Item = impl Into<String>>,
    ) -> Self {
        Self {
            name: name.into(),
            seed,
            sizes: Vec::new(),
            columns: columns.into_iter().map(Into::into).collect(),
            rows: Vec::new(),
            remarks: Vec::new(),
        }
    }

    /// Adds a size that determines the figures.
    #[must_use]
    pub fn with_size(mut self, name: impl Into<String>, value: u64) -> Self {
        let name = name.into();
        self.sizes.push(ReportSize { name, value });
        self
    }

    /// Adds a note on how to read the figures.
    pub fn add_remark(&mut self, text: impl Into<String>) {
        self.remarks.push(text.into());
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// Panics if the number of cells differs from the number of columns.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = ReportCell>) {
        let cells: Vec<_> = cells.into_iter().collect();
        assert_eq!(
            cells.len(),
            self.columns.len(),
            "a row has one cell for each column"
        );
        self.rows.push(ReportRow { cells });
    }
}

impl fmt::Display for ExperimentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: seed {}", self.name, self.seed)?;
        for size in &self.sizes {
            write!(f, ", {} {}", size.name, size.value)?;
        }
        writeln!(f)?;
        let table: Vec<Vec<String>> = std::iter::once(self.columns.clone())
            .chain(self.rows.iter().map(ReportRow::cell_texts))
            .collect();
        for line in &table {
            write_table_line(f, line, &table)?;
        }
        for remark in &self.remarks {
            writeln!(f, "{remark}")?;
        }
        Ok(())
    }
}

fn write_table_line(
    f: &mut fmt::Formatter<'_>,
    line: &[String],
    table: &[Vec<String>],
) -> fmt::Result {
    for (index, text) in line.iter().enumerate() {
        let width = table.iter().map(|other| other[index].len()).max();
        let width = width.unwrap_or(0);
        if index == 0 {
            write!(f, "{text:<width$}")?;
        } else {
            write!(f, "  {text:>width$}")?;
        }
    }
    writeln!(f)
}

impl ReportRow {
    fn cell_texts(&self) -> Vec<String> {
        self.cells.iter().map(ToString::to_string).collect()
    }
}

impl fmt::Display for ReportCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Count(count) => write!(f, "{count}"),
            Self::Quantity(quantity) => write!(f, "{quantity:.3}"),
        }
    }
}

impl From<&str> for ReportCell {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for ReportCell {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for ReportCell {
    fn from(count: u64) -> Self {
        Self::Count(count)
    }
}

impl From<f64> for ReportCell {
    fn from(quantity: f64) -> Self {
        Self::Quantity(quantity)
    }
}
