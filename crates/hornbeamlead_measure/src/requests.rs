//! Experiment on live requests: this policy beside random choice with plain retries.

use crate::report::{MeasureError, TableReport};

/// Runs the experiment.
///
/// # Errors
/// Returns [`MeasureError`] when a process could not be started or asked.
pub fn run() -> Result<TableReport, MeasureError> {
    Err(MeasureError::new("this experiment is not built yet"))
}
