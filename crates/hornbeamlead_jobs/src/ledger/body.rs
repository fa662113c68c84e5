//! Completes the state of a job once its body is known.
//!
//! A recovery applies plan records before it has read the jobs stream, so the state at that point
//! depends on no body.

use super::{JobState, OccurrenceState, TaskState, complete_gang};
use crate::job::{JobRecord, StepSpec};
use std::sync::Arc;

impl JobState {
    /// Sets the job's record, creates the state of tasks that no plan record has named, and corrects
    /// ends that were applied without the record. Opens all occurrences before the latest known one,
    /// since occurrences open in order and no plan record tells of it.
    pub(super) fn set_record(&mut self, record: Arc<JobRecord>) {
        let complete = OccurrenceState::new(&record);
        for occurrence in self.occurrences.values_mut() {
            occurrence.steps.resize_with(complete.steps.len(), Vec::new);
            for (tasks, wanted) in occurrence.steps.iter_mut().zip(&complete.steps) {
                tasks.resize_with(wanted.len(), TaskState::default);
            }
            for (tasks, spec) in occurrence.steps.iter_mut().zip(&record.body.steps) {
                correct_ends(tasks, spec);
            }
        }
        self.record = Some(record);
        let latest = self.occurrences.keys().next_back().copied();
        for occurrence in 0..latest.unwrap_or(0) {
            self.open_occurrence(occurrence);
        }
    }
}

/// Applies to a step what the end `Done` of a task means for gangs and long-running tasks.
fn correct_ends(tasks: &mut [TaskState], spec: &StepSpec) {
    match tasks.iter().any(|task| task.done) {
        true if spec.long_running => tasks.iter_mut().for_each(|task| task.done = false),
        true if spec.gang => complete_gang(tasks),
        _ => {}
    }
}
