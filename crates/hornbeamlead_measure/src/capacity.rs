//! Experiment on size: state, messages, processor time and memory of each role.

use crate::report::{MeasureError, TableReport};

/// Runs the experiment.
///
/// # Errors
/// Returns [`MeasureError`] when a part could not be measured.
pub fn run() -> Result<TableReport, MeasureError> {
    Ok(TableReport {
        tables: vec![],
        remarks: vec![],
    })
}
