//! Checks of workers' and endpoints' histories: overlapping runs, repeated attempts, lost work.

use crate::worker::history::{EndpointRuns, TaskEvent, TaskEventKind, WorkerHistory};
use hornbeamlead_platform::worker_wire::AttemptWire;
use std::collections::BTreeMap;

/// Job and index of a task.
pub type TaskKey = (Box<str>, u32);

/// Interval in which an attempt ran on a worker; times are in microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskInterval {
    /// Attempt that ran.
    pub attempt: AttemptWire,
    /// Index of the worker's history in the checked list.
    pub worker: usize,
    /// Start of the interval.
    pub from_us: u64,
    /// End of the interval; `u64::MAX` if the attempt is still running.
    pub until_us: u64,
    /// Event that ended the attempt; `None` if it is still running.
    pub end: Option<TaskEventKind>,
    /// Progress at the start, in milliseconds at full speed.
    pub start_progress_ms: u64,
    /// Progress at the last event, in milliseconds at full speed.
    pub progress_ms: u64,
    /// Progress in the last checkpoint, in milliseconds at full speed.
    pub checkpoint_ms: u64,
}

/// Returns the intervals of each task, ordered by start.
#[must_use]
pub fn task_intervals(histories: &[WorkerHistory]) -> BTreeMap<TaskKey, Vec<TaskInterval>> {
    let mut tasks: BTreeMap<TaskKey, Vec<TaskInterval>> = BTreeMap::new();
    for (worker, history) in histories.iter().enumerate() {
        for event in &history.events {
            let key = (event.attempt.job.clone(), event.attempt.index);
            apply_event(tasks.entry(key).or_default(), worker, event);
        }
    }
    for intervals in tasks.values_mut() {
        intervals.sort_by_key(|interval| interval.from_us);
    }
    tasks.retain(|_, intervals| !intervals.is_empty());
    tasks
}

fn apply_event(intervals: &mut Vec<TaskInterval>, worker: usize, event: &TaskEvent) {
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

/// Returns pairs of overlapping intervals of the same task.
#[must_use]
pub fn overlapping_runs(histories: &[WorkerHistory]) -> Vec<(TaskInterval, TaskInterval)> {
    let mut overlaps = Vec::new();
    for intervals in task_intervals(histories).values() {
        let mut last: Option<&TaskInterval> = None;
        for interval in intervals {
            match last {
                Some(earlier) if earlier.until_us > interval.from_us => {
                    overlaps.push((earlier.clone(), interval.clone()));
                }
                _ => {}
            }
            last = match last {
                Some(earlier) if earlier.until_us > interval.until_us => last,
                _ => Some(interval),
            };
        }
    }
    overlaps
}

/// Returns attempts that were started more than once, on the same worker or on several.
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

/// Returns all events of a kind, of all workers.
#[must_use]
pub fn events_of(histories: &[WorkerHistory], kind: TaskEventKind) -> Vec<TaskEvent> {
    let events = histories.iter().flat_map(|history| &history.events);
    events.filter(|it| it.event == kind).cloned().collect()
}

/// Returns the number of tasks of a job that completed successfully.
#[must_use]
pub fn finished_tasks(histories: &[WorkerHistory], job: &str) -> usize {
    let tasks = task_intervals(histories);
    let finished = tasks.iter().filter(|((name, _), intervals)| {
        let is_finished = |it: &TaskInterval| it.end == Some(TaskEventKind::Finished);
        &**name == job && intervals.iter().any(is_finished)
    });
    finished.count()
}

/// Returns the work that each task had to repeat, in milliseconds at full speed.
///
/// An attempt repeats the part of its predecessor's progress that lies above its own start.
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

/// Returns the number of runs by request body, for requests with one of `methods`.
#[must_use]
pub fn runs_by_body(runs: &[EndpointRuns], methods: &[&str]) -> BTreeMap<Box<str>, usize> {
    let mut counts = BTreeMap::new();
    let all = runs.iter().flat_map(|runs| &runs.runs);
    for run in all.filter(|run| methods.contains(&&*run.method)) {
        *counts.entry(run.body.clone()).or_default() += 1;
    }
    counts
}
