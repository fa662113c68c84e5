//! Experiment on scale: state, message sizes, processor time and memory of each role.
//!
//! State and times are measured at four or more sizes. `docs/CAPACITY.md` extrapolates the slope
//! between the smallest and the largest to the fleet expected in two years.

mod allocation;
mod cell;
mod cell_model;
mod configuration;
mod entry;
mod messages;
mod model_log;
mod model_worker;
mod samples;

use crate::report::{MeasureError, TableReport};
use hornbeamlead_core::policy::SchedulePolicy;

/// Runs the experiment.
///
/// # Errors
/// Returns [`MeasureError`] when a part could not be measured.
pub fn run() -> Result<TableReport, MeasureError> {
    let tables = vec![
        messages::measure(),
        configuration::measure()?,
        entry::measure()?,
        cell::measure("default policy", &SchedulePolicy::default())?,
        cell::measure("intervals of a large cell", &cell::large_cell_policy())?,
    ];
    Ok(TableReport {
        tables,
        remarks: vec![],
    })
}
