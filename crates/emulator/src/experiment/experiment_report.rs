use std::fmt;

use serde::Serialize;

/// What an experiment measured, with its seed and sizes.
///
/// `Display` prints a table for people; the JSON form has the same content.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub name: String,
    /// Seed of every random choice.
    pub seed: u64,
    /// Sizes that the figures depend on.
    pub sizes: Vec<ReportSize>,
    /// Names of the columns, with their units.
    pub columns: Vec<String>,
    /// Measured rows.
    pub rows: Vec<ReportRow>,
    /// What a reader has to know beside the figures.
    pub remarks: Vec<String>,
}

/// A size that the figures of a report depend on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReportSize {
    /// Name of the size.
    pub name: String,
    /// Value of the size.
    pub value: u64,
}

/// One row of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportRow {
    /// Cells in the order of the columns.
    pub cells: Vec<ReportCell>,
}

/// One cell of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum ReportCell {
    /// A name.
    Text(String),
    /// A whole number.
    Count(u64),
    /// A measured quantity.
    Quantity(f64),
}

impl ExperimentReport {
    /// Builds a report without rows.
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

    /// Adds a size.
    #[must_use]
    pub fn size(mut self, name: impl Into<String>, value: u64) -> Self {
        let name = name.into();
        self.sizes.push(ReportSize { name, value });
        self
    }

    /// Adds a remark.
    pub fn remark(&mut self, text: impl Into<String>) {
        self.remarks.push(text.into());
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// Panics when the row has not one cell for each column.
    pub fn row(&mut self, cells: impl IntoIterator<Item = ReportCell>) {
        let cells: Vec<_> = cells.into_iter().collect();
        assert_eq!(cells.len(), self.columns.len(), "one cell for each column");
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
            .chain(self.rows.iter().map(ReportRow::texts))
            .collect();
        for line in &table {
            write_line(f, line, &table)?;
        }
        for remark in &self.remarks {
            writeln!(f, "{remark}")?;
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &[String], table: &[Vec<String>]) -> fmt::Result {
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
    fn texts(&self) -> Vec<String> {
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
