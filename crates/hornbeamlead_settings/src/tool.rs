//! Settings of the command-line tool for operators.

use crate::finding::{FindingLog, Findings};
use crate::section::{Section, parse_document};
use std::net::SocketAddr;

/// Validated settings of the command-line tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolSettings {
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Operator addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Author of release notes that the tool generates.
    pub author: Box<str>,
}

/// Reads the settings of the command-line tool and reports all errors together.
///
/// ```
/// use hornbeamlead_settings::read_tool_settings;
///
/// let text = r#"{"log": {"address": "127.0.0.1:7000"},
///     "entries": ["127.0.0.1:7102"], "author": "nimal"}"#;
/// assert_eq!(read_tool_settings("tool.json", text).unwrap().entries.len(), 1);
/// ```
///
/// # Errors
/// Returns all findings if the file is not valid.
pub fn read_tool_settings(file_name: &str, text: &str) -> Result<ToolSettings, Findings> {
    let mut log = FindingLog::new(file_name, text);
    let settings = parse_document(text, &mut log, read_tool);
    log.into_result(settings)
}

fn read_tool(mut section: Section<'_>, log: &mut FindingLog<'_>) -> Option<ToolSettings> {
    let log_address = crate::process::read_log(&mut section, log);
    let entries = section.list::<SocketAddr>("entries", log);
    let author = section.required("author", log);
    section.check(
        !entries.is_empty(),
        &["entries"],
        || "no entry is named, so no status can be read".to_owned(),
        "list the operator addresses of the entries under \"entries\"",
        log,
    );
    section.finish(log);
    Some(ToolSettings {
        log: log_address?,
        entries,
        author: author?,
    })
}
