//! The command `config check`, which reads files only.

use crate::failure::{ToolFailure, UnreadableFileSnafu};
use crate::report::{ExitStatus, ToolReport};
use hornbeamlead_adapter::read_config;
use hornbeamlead_jobs::config_check::{ConfigFinding, check_config, diff_configs};
use serde::Serialize;
use snafu::ResultExt;
use std::fmt;
use std::path::Path;

/// Finding in a form for scripts.
#[derive(Debug, Serialize)]
struct FindingWire {
    file: Box<str>,
    place: Box<str>,
    fault: Box<str>,
    cause: Box<str>,
}

/// Findings in a configuration, and what it changes.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigReport {
    file: Box<str>,
    version: u64,
    findings: Vec<FindingWire>,
    differences: Vec<Box<str>>,
}

/// Checks the file of a configuration, if given against that of the configuration in force.
pub(crate) fn check_file(file: &Path, against: Option<&Path>) -> Result<ConfigReport, ToolFailure> {
    let (config, mut found) = load_config(file)?;
    let in_force = against.map(load_config).transpose()?;
    let old = in_force.as_ref().map(|(old, _)| old);
    found.extend(check_config(&config, old));
    let mut findings = to_wire(file, found);
    let differences = old
        .map(|old| diff_configs(old, &config))
        .unwrap_or_default();
    if let (Some((_, unread)), Some(against)) = (in_force, against) {
        findings.extend(to_wire(against, unread));
    }
    Ok(ConfigReport {
        file: file.display().to_string().into(),
        version: config.version,
        findings,
        differences: differences
            .iter()
            .map(|difference| difference.to_string().into())
            .collect(),
    })
}

fn load_config(
    path: &Path,
) -> Result<(hornbeamlead_jobs::config::FleetConfig, Vec<ConfigFinding>), ToolFailure> {
    let bytes = std::fs::read(path).context(UnreadableFileSnafu { path })?;
    Ok(read_config(&bytes))
}

fn to_wire(file: &Path, findings: Vec<ConfigFinding>) -> Vec<FindingWire> {
    let file: Box<str> = file.display().to_string().into();
    let wire = |finding: ConfigFinding| FindingWire {
        file: file.clone(),
        place: finding.place,
        fault: finding.fault.to_string().into(),
        cause: finding.cause,
    };
    findings.into_iter().map(wire).collect()
}

impl ToolReport for ConfigReport {
    fn exit_status(&self) -> ExitStatus {
        match self.findings.is_empty() {
            true => ExitStatus::Done,
            false => ExitStatus::Refused,
        }
    }
}

impl fmt::Display for ConfigReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            let FindingWire {
                file,
                place,
                fault,
                cause,
            } = finding;
            writeln!(f, "{file}: {place}: {fault}: {cause}")?;
        }
        for difference in &self.differences {
            writeln!(f, "{difference}")?;
        }
        writeln!(
            f,
            "{}: version {}, {} findings, {} differences",
            self.file,
            self.version,
            self.findings.len(),
            self.differences.len()
        )
    }
}
