//! State of a job and of its occurrences.

use super::index_ranges::IndexRanges;
use super::step::{DONE, StepState, TaskCounts};
use super::{TaskPlacement, TaskState};
use crate::ids::{JobId, RunName, StepName, TaskName};
use crate::job::{JobPhase, JobRecord, RunEnd, StepSpec};
use std::collections::BTreeMap;
use std::sync::Arc;

/// State of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OccurrenceState {
    /// Steps, by index.
    pub steps: Vec<StepState>,
}

impl OccurrenceState {
    pub(super) fn new(record: &JobRecord) -> Self {
        let tasks = |step: &StepSpec| StepState::new(step.tasks);
        Self {
            steps: record.body.steps.iter().map(tasks).collect(),
        }
    }

    /// Returns whether all tasks of a step have completed.
    #[must_use]
    pub fn is_step_done(&self, step: u16) -> bool {
        let state = self.steps.get(usize::from(step));
        state.is_some_and(StepState::is_done)
    }

    /// Returns whether all dependencies of a step are complete.
    #[must_use]
    pub fn is_step_ready(&self, step: &StepSpec) -> bool {
        step.after.iter().all(|&earlier| self.is_step_done(earlier))
    }

    /// Returns whether an attempt of a task is placed or a task is done.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.steps.iter().any(StepState::is_started)
    }

    /// Returns whether all tasks have completed.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    fn totals(&self) -> JobTotals {
        let mut counts = TaskCounts::default();
        for step in &self.steps {
            counts.add(step.counts());
        }
        let is_started = self.is_started();
        JobTotals {
            counts,
            done: usize::from(counts.unfinished == 0),
            unstarted: if is_started { 0 } else { counts.unfinished },
        }
    }
}

/// Sums over the open occurrences of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct JobTotals {
    counts: TaskCounts,
    /// Occurrences of which all tasks have completed.
    done: usize,
    /// Tasks of occurrences that have not started.
    unstarted: usize,
}

impl JobTotals {
    fn add(&mut self, other: Self) {
        self.counts.add(other.counts);
        self.done += other.done;
        self.unstarted += other.unstarted;
    }

    fn subtract(&mut self, other: Self) {
        self.counts.subtract(other.counts);
        self.done -= other.done;
        self.unstarted -= other.unstarted;
    }
}

/// State of a job that has not ended, or of which attempts may still be running.
#[derive(Clone, Debug, PartialEq)]
pub struct JobState {
    /// Accepted job; absent after a recovery until the jobs stream has been read again.
    pub record: Option<Arc<JobRecord>>,
    /// Queue, as host and path prefix.
    pub queue: Box<str>,
    /// Phase of the job.
    pub phase: JobPhase,
    /// Occurrences that have started or may start and are not over, by number.
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// Occurrences of which all tasks have completed and no attempt may be running.
    completed: IndexRanges,
    totals: JobTotals,
}

impl JobState {
    pub(super) fn new(queue: Box<str>) -> Self {
        Self {
            record: None,
            queue,
            phase: JobPhase::Queued,
            occurrences: BTreeMap::new(),
            completed: IndexRanges::default(),
            totals: JobTotals::default(),
        }
    }

    /// Restores a job whose record is not known yet.
    pub(crate) fn restore(
        queue: Box<str>,
        phase: JobPhase,
        occurrences: BTreeMap<u32, OccurrenceState>,
        completed: IndexRanges,
    ) -> Self {
        let mut state = Self {
            phase,
            occurrences,
            completed,
            ..Self::new(queue)
        };
        state.sum_up();
        state
    }

    /// Returns the occurrences of which all tasks have completed and no attempt may be running.
    #[must_use]
    pub fn completed(&self) -> &IndexRanges {
        &self.completed
    }

    /// Returns the specification of a step, if the job's record is known.
    #[must_use]
    pub fn spec(&self, step: StepName) -> Option<&StepSpec> {
        self.record.as_ref()?.step(step)
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn task(&self, name: TaskName) -> Option<&TaskState> {
        if self.completed.contains(name.step.occurrence) {
            return Some(&DONE);
        }
        let occurrence = self.occurrences.get(&name.step.occurrence)?;
        let step = occurrence.steps.get(usize::from(name.step.step))?;
        step.task(name.index)
    }

    /// Changes a step, which is created with its occurrence if it is missing. Occurrences that are over
    /// stay as they are.
    fn change_step(&mut self, name: StepName, change: impl FnOnce(&mut StepState, bool)) {
        if self.completed.contains(name.occurrence) {
            return;
        }
        let record = self.record.as_deref();
        let mut occurrence = match self.occurrences.remove(&name.occurrence) {
            Some(occurrence) => {
                self.totals.subtract(occurrence.totals());
                occurrence
            }
            None => record.map(OccurrenceState::new).unwrap_or_default(),
        };
        let step = usize::from(name.step);
        if occurrence.steps.len() <= step {
            occurrence.steps.resize_with(step + 1, StepState::default);
        }
        change(&mut occurrence.steps[step], record.is_some());
        self.put_occurrence(name.occurrence, occurrence);
    }

    /// Puts an occurrence whose tasks are not counted yet, unless it is over.
    fn put_occurrence(&mut self, number: u32, occurrence: OccurrenceState) {
        let totals = occurrence.totals();
        if self.record.is_some() && totals.done > 0 && totals.counts.placed == 0 {
            self.completed.insert(number);
            return;
        }
        self.totals.add(totals);
        self.occurrences.insert(number, occurrence);
    }

    /// Changes a task, which is created with its step and its occurrence if it is missing.
    pub(super) fn change_task(&mut self, name: TaskName, change: impl FnOnce(&mut TaskState)) {
        self.change_step(name.step, |step, is_known| {
            step.update(name.index, is_known, change);
        });
    }

    /// Creates an occurrence whose tasks are all waiting, unless it exists or is over.
    pub fn open_occurrence(&mut self, number: u32) {
        let exists = self.occurrences.contains_key(&number) || self.completed.contains(number);
        if let Some(record) = self.record.as_deref().filter(|_| !exists) {
            self.put_occurrence(number, OccurrenceState::new(record));
        }
    }

    /// Returns the number of the first occurrence after all that are open or over.
    #[must_use]
    pub fn next_occurrence(&self) -> u32 {
        let open = self.occurrences.keys().next_back().copied();
        let last = open.max(self.completed.last());
        last.map_or(0, |last| last.saturating_add(1))
    }

    /// Returns whether all tasks of all occurrences have completed; long-running tasks never do.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let Some(record) = &self.record else {
            return false;
        };
        let expected = record.body.schedule.occurrences() as usize;
        self.completed.len() + self.totals.done == expected
    }

    /// Returns whether no attempt may be running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.totals.counts.placed == 0
    }

    /// Returns the number of tasks of the open occurrences that have not completed.
    #[must_use]
    pub fn unfinished_tasks(&self) -> usize {
        self.totals.counts.unfinished
    }

    /// Returns the number of tasks of the open occurrences that have not started.
    #[must_use]
    pub fn unstarted_tasks(&self) -> usize {
        self.totals.unstarted
    }

    /// Returns the number of attempts that may be running of tasks that have not completed.
    #[must_use]
    pub fn unfinished_runs(&self) -> usize {
        self.totals.counts.running
    }

    /// Returns all attempts that may be running, each with its occurrence, step and task index.
    pub fn placements(&self) -> impl Iterator<Item = (u32, u16, u32, &TaskPlacement)> {
        self.occurrences.iter().flat_map(|(&occurrence, state)| {
            let steps = state.steps.iter().enumerate();
            steps.flat_map(move |(step, tasks)| {
                let placements = tasks.placements();
                placements
                    .map(move |(index, placement)| (occurrence, step as u16, index, placement))
            })
        })
    }

    /// Returns the names of all attempts that may be running.
    pub fn runs(&self, job: JobId) -> impl Iterator<Item = (RunName, &TaskPlacement)> {
        self.placements()
            .map(move |(occurrence, step, index, placement)| {
                let step = StepName {
                    job,
                    occurrence,
                    step,
                };
                let task = TaskName { step, index };
                let run = placement.run;
                (RunName { task, run }, placement)
            })
    }

    pub(super) fn end_run(&mut self, run: RunName, end: RunEnd, saved: Option<Box<str>>) {
        let spec = self.spec(run.task.step);
        let long_running = spec.is_some_and(|spec| spec.long_running);
        let gang = spec.is_some_and(|spec| spec.gang);
        self.change_step(run.task.step, |step, is_known| {
            let completes_gang = end == RunEnd::Done && gang && !long_running;
            if completes_gang {
                step.complete_all();
            }
            step.update(run.task.index, is_known, |task| {
                task.placements.retain(|placement| placement.run != run.run);
                task.last_run = task.last_run.max(run.run);
                if saved.is_some() {
                    task.saved = saved;
                }
                match end {
                    RunEnd::Done => task.done |= !long_running,
                    RunEnd::Failed => task.failures = task.failures.saturating_add(1),
                    _ => {}
                }
            });
            if completes_gang {
                step.drop_past();
            }
        });
    }

    /// Sets the job's record, creates the state of tasks that no plan record has named, and corrects
    /// ends that were applied without the record. Opens all occurrences before the latest known one,
    /// since occurrences open in order and no plan record tells of it.
    ///
    /// A recovery applies plan records before it has read the jobs stream, so the state at that point
    /// depends on no body.
    pub(super) fn set_record(&mut self, record: Arc<JobRecord>) {
        let occurrences = std::mem::take(&mut self.occurrences);
        self.totals = JobTotals::default();
        for (number, mut occurrence) in occurrences {
            let specs = &record.body.steps;
            occurrence
                .steps
                .resize_with(specs.len(), StepState::default);
            for (step, spec) in occurrence.steps.iter_mut().zip(specs) {
                step.resize(spec.tasks);
                correct_ends(step, spec);
                step.drop_past();
            }
            self.record = Some(Arc::clone(&record));
            self.put_occurrence(number, occurrence);
        }
        self.record = Some(record);
        let latest = self.next_occurrence().saturating_sub(1);
        let missing: Vec<_> = self.completed.gaps(latest).collect();
        for occurrence in missing {
            self.open_occurrence(occurrence);
        }
    }

    fn sum_up(&mut self) {
        self.totals = JobTotals::default();
        for occurrence in self.occurrences.values() {
            self.totals.add(occurrence.totals());
        }
    }
}

/// Applies to a step what the end `Done` of a task means for gangs and long-running tasks.
fn correct_ends(step: &mut StepState, spec: &StepSpec) {
    match step.counts().unfinished < step.len() {
        true if spec.long_running => step.reopen_all(),
        true if spec.gang => step.complete_all(),
        _ => {}
    }
}
