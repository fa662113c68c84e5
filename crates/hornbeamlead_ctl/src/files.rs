//! Loads the files that the commands read.

use crate::args::CommonOptions;
use crate::failure::{ToolFailure, UnreadableFileSnafu};
use crate::log_lines::EventLine;
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_settings::note::read_note;
use hornbeamlead_settings::{ToolSettings, read_tool_settings};
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// Loads and validates the settings of the tool.
pub(crate) fn load_settings(common: &CommonOptions) -> Result<ToolSettings, ToolFailure> {
    let text = load_text(&common.settings)?;
    let name = common.settings.display().to_string();
    Ok(read_tool_settings(&name, &text)?)
}

/// Loads and validates a release note.
pub(crate) fn load_note(file: &Path) -> Result<ReleaseNote, ToolFailure> {
    let text = load_text(file)?;
    Ok(read_note(&file.display().to_string(), &text)?)
}

/// Reads the event lines of log files; `-` is standard input. Other lines are skipped.
pub(crate) fn load_lines(files: &[PathBuf]) -> Result<Vec<EventLine>, ToolFailure> {
    let mut lines = Vec::new();
    for path in files {
        let text = match path.as_os_str() == "-" {
            true => {
                std::io::read_to_string(std::io::stdin()).context(UnreadableFileSnafu { path })?
            }
            false => load_text(path)?,
        };
        lines.extend(text.lines().filter_map(EventLine::parse));
    }
    Ok(lines)
}

fn load_text(path: &Path) -> Result<String, ToolFailure> {
    std::fs::read_to_string(path).context(UnreadableFileSnafu { path })
}
