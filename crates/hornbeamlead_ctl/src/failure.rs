//! Errors of the commands.

use crate::report::{ExitStatus, ToolReport};
use hornbeamlead_settings::{Finding, Findings};
use serde::{Serialize, Serializer};
use snafu::Snafu;
use std::path::PathBuf;

/// Error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ToolFailure {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    UnreadableFile {
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Settings or a note failed validation.
    #[snafu(display("{findings}"))]
    InvalidFile { findings: Findings },
    /// An argument is not a valid name.
    #[snafu(display("invalid name {text:?}: {source}"))]
    InvalidName {
        text: Box<str>,
        /// Rule that the name breaks.
        source: hornbeamlead_core::ids::NameError,
    },
    /// The log is unreachable or did not answer in time.
    #[snafu(display("the log did not answer in time"))]
    LogUnavailable,
    /// Retention has removed records, and no snapshot on the log contains them yet.
    #[snafu(display("the log holds neither all notes nor a snapshot of the missing ones"))]
    LogIncomplete,
    /// None of the configured entries answered.
    #[snafu(display("none of the entries in the settings answered"))]
    NoEntryReachable,
    /// The asynchronous runtime could not be created.
    #[snafu(display("cannot start the asynchronous runtime: {source}"))]
    Setup {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl ToolReport for ToolFailure {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::UnreadableFile { .. } | Self::InvalidFile { .. } | Self::InvalidName { .. } => {
                ExitStatus::Usage
            }
            Self::LogUnavailable
            | Self::LogIncomplete
            | Self::NoEntryReachable
            | Self::Setup { .. } => ExitStatus::Refused,
        }
    }
}

/// JSON form of a [`ToolFailure`].
#[derive(Serialize)]
struct FailureWire {
    outcome: &'static str,
    reason: String,
    findings: Vec<FindingWire>,
}

/// JSON form of a [`Finding`].
#[derive(Serialize)]
struct FindingWire {
    file: Box<str>,
    line: usize,
    column: usize,
    cause: Box<str>,
    mend: Box<str>,
}

impl Serialize for ToolFailure {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let findings = match self {
            Self::InvalidFile { findings } => findings.iter().map(FindingWire::from).collect(),
            _ => Vec::new(),
        };
        let wire = FailureWire {
            outcome: "failed",
            reason: self.to_string(),
            findings,
        };
        wire.serialize(serializer)
    }
}

impl From<&Finding> for FindingWire {
    fn from(finding: &Finding) -> Self {
        Self {
            file: finding.file.clone(),
            line: finding.line,
            column: finding.column,
            cause: finding.cause.clone(),
            mend: finding.fix.clone(),
        }
    }
}

impl From<Findings> for ToolFailure {
    fn from(findings: Findings) -> Self {
        Self::InvalidFile { findings }
    }
}
