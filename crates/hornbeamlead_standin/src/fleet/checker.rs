//! Judges what workers and endpoints did: runs at two places, overfilled workers, lost work.

use crate::worker::history::{EndpointRuns, TaskEvent, TaskEventKind, WorkerHistory};
use hornbeamlead_platform::worker_wire::AttemptWire;
use std::collections::BTreeMap;

/// Task: its job and index.
pub type TaskKey = (Box<str>, u32);

/// Time in which one attempt ran on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskInterval {
    /// Attempt.
    pub attempt: AttemptWire,
    /// Place of the worker's history in the list that was judged.
    pub worker: usize,
    /// Start.
    pub from_us: u64,
    /// End; greatest number while it runs.
    pub until_us: u64,
    /// How it ended.
    pub end: Option<TaskEventKind>,
    /// Work that it began with, in milliseconds at full speed.
    pub start_progress_ms: u64,
    /// Work done at its end.
    pub progress_ms: u64,
    /// Work that its last checkpoint holds.
    pub checkpoint_ms: u64,
}

/// Returns the intervals of each task, in order of their start.
#[must_use]
pub fn task_intervals(histories: &[WorkerHistory]) -> BTreeMap<TaskKey, Vec<TaskInterval>> {
    let mut tasks: BTreeMap<TaskKey, Vec<TaskInterval>> = BTreeMap::new();
    for (worker, history) in histories.iter().enumerate() {
        for event in &history.events {
            let key = (event.attempt.job.clone(), event.attempt.index);
            note_event(tasks.entry(key).or_default(), worker, event);
        }
    }
    for intervals in tasks.values_mut() {
        intervals.sort_by_key(|interval| interval.from_us);
    }
    tasks.retain(|_, intervals| !intervals.is_empty());
    tasks
}

fn note_event(intervals: &mut Vec<TaskInterval>, worker: usize, event: &TaskEvent) {
    if event.event == TaskEventKind::Started {
        intervals.push(TaskInterval {
            attempt: event.attempt.clone(),
            worker,
            from_us: event.at_us,
            until_us: u64::MAX,
            end: None,
            start_progress_ms: event.progress_ms,
            progress_ms: event.progress_ms,
            checkpoint_ms: event.checkpoint_ms,
        });
        return;
    }
    if event.event.is_refusal() {
        return;
    }
    let open = intervals.iter_mut().find(|interval| {
        interval.worker == worker && interval.attempt == event.attempt && interval.end.is_none()
    });
    let Some(interval) = open else {
        return;
    };
    interval.progress_ms = event.progress_ms;
    interval.checkpoint_ms = event.checkpoint_ms;
    if event.event.is_end() {
        interval.until_us = event.at_us;
        interval.end = Some(event.event);
    }
}

/// Returns pairs of intervals in which a task ran at two places at once.
#[must_use]
pub fn overlapping_runs(histories: &[WorkerHistory]) -> Vec<(TaskInterval, TaskInterval)> {
    let mut doubles = Vec::new();
    for intervals in task_intervals(histories).values() {
        let mut last: Option<&TaskInterval> = None;
        for interval in intervals {
            match last {
                Some(earlier) if earlier.until_us > interval.from_us => {
                    doubles.push((earlier.clone(), interval.clone()));
                }
                _ => {}
            }
            last = match last {
                Some(earlier) if earlier.until_us > interval.until_us => last,
                _ => Some(interval),
            };
        }
    }
    doubles
}

/// Returns attempts that were started more than once, or at two workers.
#[must_use]
pub fn repeated_attempts(histories: &[WorkerHistory]) -> Vec<AttemptWire> {
    let mut repeated = Vec::new();
    for intervals in task_intervals(histories).values() {
        for (index, interval) in intervals.iter().enumerate() {
            let earlier = &intervals[..index];
            if earlier.iter().any(|it| it.attempt == interval.attempt) {
                repeated.push(interval.attempt.clone());
            }
        }
    }
    repeated
}

/// Returns events of a kind at any worker.
#[must_use]
pub fn events_of(histories: &[WorkerHistory], kind: TaskEventKind) -> Vec<TaskEvent> {
    let events = histories.iter().flat_map(|history| &history.events);
    events.filter(|it| it.event == kind).cloned().collect()
}

/// Returns the number of tasks of a job that ended well.
#[must_use]
pub fn finished_tasks(histories: &[WorkerHistory], job: &str) -> usize {
    let tasks = task_intervals(histories);
    let finished = tasks.iter().filter(|((name, _), intervals)| {
        let well = |it: &TaskInterval| it.end == Some(TaskEventKind::Finished);
        &**name == job && intervals.iter().any(well)
    });
    finished.count()
}

/// Returns the work that each task did more than once, in milliseconds at full speed.
///
/// It is what an attempt had done when the next one began below that.
#[must_use]
pub fn lost_work_ms(histories: &[WorkerHistory]) -> BTreeMap<TaskKey, u64> {
    let tasks = task_intervals(histories).into_iter();
    tasks
        .map(|(key, intervals)| {
            let pairs = intervals.windows(2);
            let lost = pairs.map(|pair| {
                pair[0]
                    .progress_ms
                    .saturating_sub(pair[1].start_progress_ms)
            });
            (key, lost.sum())
        })
        .collect()
}

/// Returns how often each body of a request with one of the methods was run.
#[must_use]
pub fn runs_by_body(runs: &[EndpointRuns], methods: &[&str]) -> BTreeMap<Box<str>, usize> {
    let mut counts = BTreeMap::new();
    let all = runs.iter().flat_map(|runs| &runs.runs);
    for run in all.filter(|run| methods.contains(&&*run.method)) {
        *counts.entry(run.body.clone()).or_default() += 1;
    }
    counts
}
