//! Experiment on batch tasks: this policy beside first-fit without learning.

use crate::report::{MeasureError, TableReport};

/// Runs the experiment.
///
/// # Errors
/// Returns [`MeasureError`] when a process could not be started or asked.
pub fn run() -> Result<TableReport, MeasureError> {
    Err(MeasureError::new("this experiment is not built yet"))
}
