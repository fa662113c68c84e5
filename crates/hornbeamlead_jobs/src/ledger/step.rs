//! State of the tasks of a step. Only tasks that have been attempted and are not over take memory, so
//! that steps of many tasks cost no more than what runs of them.

use super::index_ranges::IndexRanges;
use super::{TaskPlacement, TaskState};
use crate::ids::RunNumber;
use std::collections::BTreeMap;

/// Task that is waiting and has never been attempted.
static UNTOUCHED: TaskState = TaskState {
    last_run: RunNumber(0),
    failures: 0,
    saved: None,
    done: false,
    placements: Vec::new(),
};

/// Task that is done and of which no attempt may be running. Its past is of no use.
pub(super) static DONE: TaskState = TaskState {
    last_run: RunNumber(0),
    failures: 0,
    saved: None,
    done: true,
    placements: Vec::new(),
};

/// Numbers of tasks and attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that have not completed.
    pub unfinished: usize,
    /// Attempts that may be running of tasks that have not completed.
    pub running: usize,
    /// Attempts that may be running.
    pub placed: usize,
}

impl TaskCounts {
    fn of(task: &TaskState) -> Self {
        let placed = task.placements.len();
        Self {
            unfinished: usize::from(!task.done),
            running: if task.done { 0 } else { placed },
            placed,
        }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.unfinished += other.unfinished;
        self.running += other.running;
        self.placed += other.placed;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.unfinished -= other.unfinished;
        self.running -= other.running;
        self.placed -= other.placed;
    }
}

/// Tasks of one step of an occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepState {
    count: u32,
    /// Highest recorded number of an attempt of any task.
    last_run: RunNumber,
    /// Checkpoint that was saved last by any task. The members of a gang resume from the same one.
    newest_saved: Option<Box<str>>,
    waiting: IndexRanges,
    /// Tasks that have been attempted. A task that is neither here nor waiting is done, and none of its
    /// attempts may be running.
    touched: BTreeMap<u32, TaskState>,
    counts: TaskCounts,
}

impl StepState {
    pub(super) fn new(count: u32) -> Self {
        let mut step = Self::default();
        step.extend(count);
        step
    }

    /// Restores a step from the parts that [`StepState::parts`] returns.
    pub(crate) fn from_parts(
        (count, last_run): (u32, RunNumber),
        newest_saved: Option<Box<str>>,
        waiting: IndexRanges,
        touched: BTreeMap<u32, TaskState>,
    ) -> Self {
        let mut step = Self {
            count,
            last_run,
            newest_saved,
            waiting,
            touched,
            counts: TaskCounts::default(),
        };
        step.recount();
        step
    }

    /// Creates a step from the states of all its tasks.
    pub(crate) fn from_tasks(tasks: impl Iterator<Item = TaskState>) -> Self {
        let mut step = Self::default();
        for (index, task) in (0..).zip(tasks) {
            step.update(index, false, |state| *state = task);
        }
        step
    }

    /// Returns the tasks that wait, and the state of those that have been attempted and are not over.
    pub(crate) fn parts(&self) -> (&IndexRanges, &BTreeMap<u32, TaskState>) {
        (&self.waiting, &self.touched)
    }

    /// Number of tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Returns whether the step has no tasks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&TaskState> {
        let at_rest = || match self.waiting.contains(index) {
            true => &UNTOUCHED,
            false => &DONE,
        };
        let known = index < self.count;
        known.then(|| self.touched.get(&index).unwrap_or_else(at_rest))
    }

    /// Returns the tasks in the order of their indices.
    #[must_use]
    pub fn iter(&self) -> StepTasks<'_> {
        StepTasks {
            step: self,
            next: 0,
        }
    }

    /// Returns the tasks that have been attempted and are not over, with their indices.
    pub fn touched(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.touched.iter().map(|(&index, task)| (index, task))
    }

    /// Returns the attempts that may be running, each with the index of its task.
    pub fn placements(&self) -> impl Iterator<Item = (u32, &TaskPlacement)> {
        self.touched().flat_map(|(index, task)| {
            let placements = task.placements.iter();
            placements.map(move |placement| (index, placement))
        })
    }

    /// Returns the checkpoint that was saved last by any task.
    #[must_use]
    pub fn newest_saved(&self) -> Option<&str> {
        self.newest_saved.as_deref()
    }

    /// Returns the indices of the tasks that need a new attempt.
    #[must_use]
    pub fn waiting(&self) -> &IndexRanges {
        &self.waiting
    }

    /// Returns the numbers of tasks and attempts.
    #[must_use]
    pub fn counts(&self) -> TaskCounts {
        self.counts
    }

    /// Returns the highest recorded number of an attempt of any task.
    #[must_use]
    pub fn last_run(&self) -> RunNumber {
        self.last_run
    }

    /// Returns whether all tasks have completed.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.counts.unfinished == 0
    }

    /// Returns whether an attempt of a task is placed or a task is done.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.waiting.len() < self.len()
    }

    /// Adds waiting tasks until there are `count` tasks.
    fn extend(&mut self, count: u32) {
        if count > self.count {
            self.waiting.insert_range(self.count, count);
            self.counts.unfinished += (count - self.count) as usize;
            self.count = count;
        }
    }

    /// Changes a task, which is added if it is missing. `is_final` tells that the end of a task is known
    /// for what it is, so that its past can be dropped.
    pub(super) fn update(
        &mut self,
        index: u32,
        is_final: bool,
        change: impl FnOnce(&mut TaskState),
    ) {
        self.extend(index.saturating_add(1));
        let touched = self.touched.remove(&index);
        let mut task = touched
            .or_else(|| self.task(index).cloned())
            .unwrap_or_default();
        self.counts.subtract(TaskCounts::of(&task));
        let earlier = task.saved.clone();
        change(&mut task);
        self.counts.add(TaskCounts::of(&task));
        if task.saved.is_some() && task.saved != earlier {
            self.newest_saved = task.saved.clone();
        }
        self.last_run = self.last_run.max(task.last_run);
        match task.is_waiting() {
            true => self.waiting.insert(index),
            false => self.waiting.remove(index),
        }
        let is_dropped = task == UNTOUCHED || is_final && is_over(&task);
        if !is_dropped {
            self.touched.insert(index, task);
        }
    }

    /// Sets the number of tasks.
    pub(super) fn resize(&mut self, count: u32) {
        self.extend(count);
        if count < self.count {
            self.count = count;
            self.waiting.truncate(count);
            self.touched.split_off(&count);
            self.recount();
        }
    }

    /// Marks all tasks as completed. Those of which attempts may be running stay placed.
    pub(super) fn complete_all(&mut self) {
        self.waiting = IndexRanges::default();
        for task in self.touched.values_mut() {
            task.done = true;
        }
        self.recount();
    }

    /// Marks all tasks as not completed.
    pub(super) fn reopen_all(&mut self) {
        for (&index, task) in &mut self.touched {
            task.done = false;
            if task.is_waiting() {
                self.waiting.insert(index);
            }
        }
        self.recount();
    }

    /// Drops the past of the tasks that are over.
    pub(super) fn drop_past(&mut self) {
        self.touched.retain(|_, task| !is_over(task));
    }

    fn recount(&mut self) {
        let mut counts = TaskCounts {
            unfinished: self.waiting.len(),
            ..TaskCounts::default()
        };
        for task in self.touched.values().filter(|task| !task.is_waiting()) {
            counts.add(TaskCounts::of(task));
        }
        self.counts = counts;
    }
}

/// Tasks of a step in the order of their indices.
#[derive(Clone, Debug)]
pub struct StepTasks<'a> {
    step: &'a StepState,
    next: u32,
}

impl<'a> Iterator for StepTasks<'a> {
    type Item = &'a TaskState;

    fn next(&mut self) -> Option<Self::Item> {
        let task = self.step.task(self.next)?;
        self.next += 1;
        Some(task)
    }
}

impl<'a> IntoIterator for &'a StepState {
    type Item = &'a TaskState;
    type IntoIter = StepTasks<'a>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Returns whether a task is done and none of its attempts may be running.
fn is_over(task: &TaskState) -> bool {
    task.done && task.placements.is_empty()
}
