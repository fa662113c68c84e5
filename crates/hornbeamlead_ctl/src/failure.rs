//! Reasons for which a command could not be carried out.

use crate::report::{ExitStatus, ToolReport};
use hornbeamlead_settings::{Finding, Findings};
use serde::{Serialize, Serializer};
use snafu::Snafu;
use std::path::PathBuf;

/// Reason for which a command could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ToolFailure {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file has faults.
    #[snafu(display("{findings}"))]
    FaultyFile {
        /// All of them.
        findings: Findings,
    },
    /// A name on the command line is ill-spelt.
    #[snafu(display("{text:?}: {source}"))]
    BadName {
        /// The name.
        text: Box<str>,
        /// What is wrong.
        source: hornbeamlead_core::ids::NameError,
    },
    /// The log gave no answer.
    #[snafu(display("the log did not answer in time"))]
    LogDown,
    /// Retention has passed and no snapshot stands on the log yet.
    #[snafu(display("the log holds neither all notes nor a snapshot that stands for them"))]
    LogIncomplete,
    /// No entry answered.
    #[snafu(display("none of the entries in the settings answered"))]
    NoEntry,
    /// The process could not be set up.
    #[snafu(display("cannot set up the tool: {source}"))]
    Setup {
        /// What the system says.
        source: std::io::Error,
    },
}

impl ToolReport for ToolFailure {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::UnreadableFile { .. } | Self::FaultyFile { .. } | Self::BadName { .. } => {
                ExitStatus::Usage
            }
            Self::LogDown | Self::LogIncomplete | Self::NoEntry | Self::Setup { .. } => {
                ExitStatus::Refused
            }
        }
    }
}

/// Failure as scripts get it.
#[derive(Serialize)]
struct FailureWire {
    outcome: &'static str,
    reason: String,
    findings: Vec<FindingWire>,
}

/// Finding as scripts get it.
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
            Self::FaultyFile { findings } => findings.iter().map(FindingWire::from).collect(),
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
        Self::FaultyFile { findings }
    }
}
