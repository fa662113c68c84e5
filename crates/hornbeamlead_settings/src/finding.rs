//! Findings: faults of a file, collected with their place and reported together.

use std::fmt;

/// Findings that are kept of one file; further ones are only counted.
pub const MAX_FINDINGS: usize = 100;

/// Fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File as the caller named it.
    pub file: Box<str>,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub cause: Box<str>,
    /// How to mend it.
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

/// Faults of a file, in the order of their place; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings {
    kept: Vec<Finding>,
    omitted: usize,
}

impl Findings {
    /// Returns the faults in the order of their place, at most [`MAX_FINDINGS`].
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.kept.iter()
    }

    /// Returns the number of faults beyond those.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.kept.iter().enumerate() {
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

/// Collects the findings of one file while it is read.
#[derive(Debug)]
pub(crate) struct FindingLog<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
    omitted: usize,
}

impl<'a> FindingLog<'a> {
    /// Makes an empty log for a file.
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            findings: Vec::new(),
            omitted: 0,
        }
    }

    /// Adds a finding at a byte offset of the text.
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
        let (line, column) = place(self.text, offset);
        self.findings.push(Finding {
            file: self.file.into(),
            line,
            column,
            cause: cause.into(),
            fix: fix.into(),
        });
    }

    /// Returns the value if nothing was found, else all findings in the order of their place.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            Some(_) | None => {
                self.findings
                    .sort_by_key(|finding| (finding.line, finding.column));
                Err(Findings {
                    kept: self.findings,
                    omitted: self.omitted,
                })
            }
        }
    }
}

/// Returns line and column of a byte offset, both from 1.
fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
