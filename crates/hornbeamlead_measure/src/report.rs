//! Reports of the experiments: tables of named columns, with remarks.

use serde::Serialize;
use snafu::Snafu;

/// Reports why an experiment could not be run to its end.
#[derive(Debug, Snafu)]
#[snafu(display("the experiment failed: {cause}"))]
pub struct MeasureError {
    /// What went wrong.
    pub cause: Box<str>,
}

impl MeasureError {
    /// Makes an error out of its cause.
    pub fn new(cause: impl std::fmt::Display) -> Self {
        Self {
            cause: cause.to_string().into(),
        }
    }
}

/// Table with its title.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReportTable {
    /// Title.
    pub title: Box<str>,
    /// Names of the columns, with their units.
    pub columns: Vec<Box<str>>,
    /// Rows; each has one cell a column.
    pub rows: Vec<Vec<Box<str>>>,
}

impl ReportTable {
    /// Makes an empty table.
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

/// Tables of one experiment with remarks on targets met or missed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TableReport {
    /// Tables in the order of printing.
    pub tables: Vec<ReportTable>,
    /// Remarks.
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
