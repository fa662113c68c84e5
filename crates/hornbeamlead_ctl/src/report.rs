//! Output of command reports as text or JSON, and the exit status.

use serde::Serialize;
use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

/// Exit status of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded; status 0.
    Done,
    /// The command was refused or failed; status 1.
    Refused,
    /// The command line, the settings or the note are invalid; status 2.
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

/// Result of a command that can be printed as text or JSON.
pub(crate) trait ToolReport: Display + Serialize {
    /// Returns the exit status of the tool after this report.
    fn exit_status(&self) -> ExitStatus;
}

/// Prints a report to standard output and returns its exit status.
pub(crate) fn print<R: ToolReport>(report: &R, json: bool) -> ExitStatus {
    let text = match json {
        true => serde_json::to_string_pretty(report).unwrap_or_default(),
        false => report.to_string(),
    };
    // Write errors are ignored: the reader may have closed the pipe early, as `head` does.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    report.exit_status()
}
