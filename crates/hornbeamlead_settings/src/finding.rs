//! Findings: errors in a file, collected with their position and reported together.

use std::fmt;

/// Maximum number of findings kept per file; further ones are only counted.
pub const MAX_FINDINGS: usize = 100;

/// Error at one position of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File name, as passed by the caller.
    pub file: Box<str>,
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// What is wrong.
    pub cause: Box<str>,
    /// How to correct it.
    pub fix: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}; {}",
            self.file, self.line, self.column, self.cause, self.fix
        )
    }
}

/// Findings of a file, ordered by position; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings {
    findings: Vec<Finding>,
    omitted: usize,
}

impl Findings {
    /// Returns at most [`MAX_FINDINGS`] findings, ordered by position.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Returns the number of findings beyond [`MAX_FINDINGS`], which are counted but not kept.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{finding}")?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => write!(f, "\nand {omitted} more"),
        }
    }
}

impl std::error::Error for Findings {}

/// Collects findings while a file is read.
#[derive(Debug)]
pub(crate) struct FindingLog<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
    omitted: usize,
}

impl<'a> FindingLog<'a> {
    /// Creates an empty log for a file.
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            findings: Vec::new(),
            omitted: 0,
        }
    }

    /// Adds a finding at a byte offset in the text.
    pub(crate) fn add(
        &mut self,
        offset: usize,
        cause: impl Into<Box<str>>,
        fix: impl Into<Box<str>>,
    ) {
        if self.findings.len() == MAX_FINDINGS {
            self.omitted += 1;
            return;
        }
        let (line, column) = line_and_column(self.text, offset);
        self.findings.push(Finding {
            file: self.file.into(),
            line,
            column,
            cause: cause.into(),
            fix: fix.into(),
        });
    }

    /// Returns the value if there are no findings, otherwise the findings ordered by position.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            Some(_) | None => {
                self.findings
                    .sort_by_key(|finding| (finding.line, finding.column));
                Err(Findings {
                    findings: self.findings,
                    omitted: self.omitted,
                })
            }
        }
    }
}

/// Returns the line and column of a byte offset, both starting at 1.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
