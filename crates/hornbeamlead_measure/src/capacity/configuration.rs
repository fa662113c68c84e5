//! State and processor time of the configuration as the number of jobs grows.

use super::allocation::{measure_allocation, measure_time};
use super::samples::{job, measure_error, note, team_note};
use crate::report::{MeasureError, ReportTable};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::fleet::snapshot::JOBS_PER_PART;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_settings::note::encode_snapshot;

/// Measured numbers of declared jobs.
const JOB_COUNTS: [usize; 4] = [1_000, 10_000, 50_000, 100_000];

/// Jobs in one note, from 100,000 jobs in 7,200 notes a day.
const JOBS_PER_NOTE: usize = 14;

/// Number of notes over which the time of one is averaged.
const TIMED_NOTES: usize = 200;

/// Measures memory, the time to apply one note, and the size of a snapshot.
///
/// # Errors
/// Returns [`MeasureError`] when a sample note is refused.
pub(crate) fn measure() -> Result<ReportTable, MeasureError> {
    let columns = [
        "jobs",
        "state KiB",
        "note us",
        "snapshot KiB",
        "parts",
        "largest part KiB",
    ];
    let mut table = ReportTable::new("configuration in force, per process", &columns);
    for jobs in JOB_COUNTS {
        table.push(measure_at(jobs)?);
    }
    Ok(table)
}

fn measure_at(jobs: usize) -> Result<[String; 6], MeasureError> {
    let (state, state_bytes) = measure_allocation(|| fill_state(jobs));
    let mut state = state?;
    let parts = state.snapshot().split(JOBS_PER_PART);
    let sizes: Vec<usize> = parts
        .iter()
        .map(|part| encode_snapshot(part).len())
        .collect();
    let largest = sizes.iter().max().copied().unwrap_or_default();
    let elapsed = measure_time(|| apply_more(&mut state, jobs));
    let note_us = elapsed.as_secs_f64() * 1e6 / TIMED_NOTES as f64;
    Ok([
        jobs.to_string(),
        (state_bytes / 1024).to_string(),
        format!("{note_us:.1}"),
        (sizes.iter().sum::<usize>() / 1024).to_string(),
        parts.len().to_string(),
        (largest / 1024).to_string(),
    ])
}

fn fill_state(jobs: usize) -> Result<FleetState, MeasureError> {
    let mut state = FleetState::default();
    state
        .apply(LogOffset(0), &team_note())
        .map_err(measure_error)?;
    for first in (0..jobs).step_by(JOBS_PER_NOTE) {
        let last = (first + JOBS_PER_NOTE).min(jobs);
        add_jobs(&mut state, first..last)?;
    }
    Ok(state)
}

fn add_jobs(state: &mut FleetState, range: std::ops::Range<usize>) -> Result<(), MeasureError> {
    let offset = state.next();
    let mut note = note(&format!("note-{offset}"));
    note.added.jobs = range.map(job).collect();
    state.apply(offset, &note).map(drop).map_err(measure_error)
}

fn apply_more(state: &mut FleetState, jobs: usize) {
    for number in 0..TIMED_NOTES {
        let first = jobs + number * JOBS_PER_NOTE;
        // The notes have new names, so none is refused.
        let _ = add_jobs(state, first..first + JOBS_PER_NOTE);
    }
}
