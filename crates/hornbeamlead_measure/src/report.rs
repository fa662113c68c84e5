//! Reports of the experiments: tables and remarks.

use serde::Serialize;
use snafu::Snafu;

/// Error that ended an experiment early.
#[derive(Debug, Snafu)]
#[snafu(display("the experiment failed: {cause}"))]
pub struct MeasureError {
    /// Text of the underlying error.
    pub cause: Box<str>,
}

impl MeasureError {
    /// Creates an error from its cause.
    pub fn new(cause: impl std::fmt::Display) -> Self {
        Self {
            cause: cause.to_string().into(),
        }
    }
}

/// Table with a title and named columns.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReportTable {
    /// Title, printed above the table.
    pub title: Box<str>,
    /// Names of the columns, with their units.
    pub columns: Vec<Box<str>>,
    /// Rows, with one cell per column.
    pub rows: Vec<Vec<Box<str>>>,
}

impl ReportTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.iter().map(|&column| column.into()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push<T: std::fmt::Display>(&mut self, cells: impl IntoIterator<Item = T>) {
        self.rows.push(
            cells
                .into_iter()
                .map(|cell| cell.to_string().into())
                .collect(),
        );
    }

    fn widths(&self) -> Vec<usize> {
        let longest = |index: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(index));
            cells
                .chain(self.columns.get(index))
                .map(|cell| cell.chars().count())
                .max()
        };
        (0..self.columns.len())
            .map(|index| longest(index).unwrap_or(0))
            .collect()
    }
}

impl std::fmt::Display for ReportTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{}", self.title)?;
        let widths = self.widths();
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            for (cell, width) in row.iter().zip(&widths) {
                write!(f, "  {cell:>width$}", width = *width)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Result of one experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TableReport {
    /// Tables in the order of printing.
    pub tables: Vec<ReportTable>,
    /// Remarks on targets met or missed, one per line.
    pub remarks: Vec<Box<str>>,
}

impl TableReport {
    /// Returns the report as one line of JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl std::fmt::Display for TableReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for table in &self.tables {
            writeln!(f, "{table}")?;
        }
        for remark in &self.remarks {
            writeln!(f, "- {remark}")?;
        }
        Ok(())
    }
}
