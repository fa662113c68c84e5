//! Reports of the commands, as text or JSON, and the exit status.

use serde::Serialize;
use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

/// Exit status of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// What was asked is done.
    Done,
    /// It was refused, or could not be done.
    Refused,
    /// The command line, the settings or the note are at fault.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::from(0),
            ExitStatus::Refused => Self::from(1),
            ExitStatus::Usage => Self::from(2),
        }
    }
}

/// Report of a command.
pub(crate) trait ToolReport: Display + Serialize {
    /// Returns the exit status that goes with the report.
    fn exit_status(&self) -> ExitStatus;
}

/// Prints a report to standard output and returns its exit status.
pub(crate) fn print<R: ToolReport>(report: &R, json: bool) -> ExitStatus {
    let text = match json {
        true => serde_json::to_string_pretty(report).unwrap_or_default(),
        false => report.to_string(),
    };
    // A reader that has closed the pipe wants no more of the report.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    report.exit_status()
}
