//! Queue of the steps that are ready, kept up to date as occurrences change, so that a pass does not
//! look at all that is open.
//!
//! The tasks of a step of a job are alike in all its occurrences, so these wait in one lane. The lanes
//! are merged by the ranks of their first steps.

mod front;

pub(super) use front::QueueFront;

use super::job_plan::JobPlan;
use super::ready::{MIN_RUNNING_TASKS, OccurrenceRanks, RankTerms, StepRank, saturating_signed};
use super::waiting_load::{LoadShares, WaitingLoad};
use crate::ids::JobId;
use crate::ledger::{JobLedger, JobState};
use hornbeamlead_core::clock::WallTime;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most occurrences that are ranked at a time.
const MAX_RANKED: usize = 2000;

/// Backward jump of the time of day from which on all occurrences are ranked anew, in milliseconds.
const MAX_CLOCK_STEP_MS: i64 = 100;

/// Occurrence of a job.
pub(super) type OccurrenceName = (JobId, u32);

/// Unfinished tasks from which a job counts as wide.
const WIDE_TASKS: usize = 200;

/// Step that is ready, in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyKey {
    pub(super) rank: StepRank,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u16,
}

/// Occurrence that competes for the room in which jobs end on time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Competitor<'a> {
    pub(super) name: OccurrenceName,
    pub(super) plan: &'a JobPlan,
    /// Time at which the occurrence is late, in milliseconds since the Unix epoch.
    pub(super) deadline_ms: i64,
    /// Work that is left, in core-milliseconds.
    pub(super) work: f64,
    pub(super) is_started: bool,
}

/// Open occurrence of a job.
#[derive(Debug, Default)]
struct QueuedOccurrence {
    ranks: OccurrenceRanks,
    deadline_ms: i64,
    load: LoadShares,
}

/// Job with what is open of it.
#[derive(Debug)]
struct QueuedJob {
    plan: Arc<JobPlan>,
    occurrences: BTreeMap<u32, QueuedOccurrence>,
    /// Steps with waiting tasks.
    lanes: BTreeSet<u16>,
    /// Whether fewer tasks run than any job may have.
    is_short: bool,
    /// When the next occurrence is due, in milliseconds since the Unix epoch.
    due_ms: Option<u64>,
    /// Whether the next occurrence is due and waits for earlier ones.
    is_held: bool,
    /// Whether an overdue occurrence was the last one that had to wait.
    is_behind: bool,
}

/// Queue of all work that is open.
#[derive(Debug, Default)]
pub(super) struct WorkQueue {
    jobs: BTreeMap<JobId, QueuedJob>,
    lanes: BTreeMap<(JobId, u16), BTreeSet<(StepRank, u32)>>,
    /// First step of each lane.
    heads: BTreeSet<ReadyKey>,
    /// Those of them that are too late to have any value, of jobs of which hardly anything runs.
    short_heads: BTreeSet<ReadyKey>,
    /// When occurrences are ranked anew, in milliseconds since the Unix epoch.
    timers: BTreeSet<(i64, OccurrenceName)>,
    /// Occurrences to rank anew.
    changed: BTreeSet<OccurrenceName>,
    /// Occurrences that compete for the room in which jobs end on time, by deadline.
    competing: BTreeSet<(i64, OccurrenceName)>,
    /// Scheduled jobs by the time at which their next occurrence is due.
    due: BTreeSet<(u64, JobId)>,
    /// Jobs with so many tasks that others could wait for long behind them.
    wide: BTreeSet<JobId>,
    /// Where the pass before has stopped.
    resume: Option<ReadyKey>,
    ranked_at_ms: i64,
    load: WaitingLoad,
}

impl WorkQueue {
    /// Returns the plan of a job.
    pub(super) fn plan(&self, job: JobId) -> Option<&Arc<JobPlan>> {
        self.jobs.get(&job).map(|queued| &queued.plan)
    }

    /// Work that waits, by the shape of the tasks.
    pub(super) fn load(&self) -> &WaitingLoad {
        &self.load
    }

    /// Returns whether an occurrence is served by the work that it still needs.
    pub(super) fn is_deferred(&self, job: JobId, occurrence: u32) -> bool {
        let queued = self.jobs.get(&job);
        let queued = queued.and_then(|queued| queued.occurrences.get(&occurrence));
        queued.is_some_and(|queued| queued.ranks.is_deferred)
    }

    /// Adds a job whose record is known, with all its open occurrences.
    pub(super) fn add_job(&mut self, job: JobId, state: &JobState) {
        let Some(record) = state.record.as_ref().filter(|_| !state.phase.is_final()) else {
            return;
        };
        let make = || QueuedJob {
            plan: Arc::new(JobPlan::new(record)),
            occurrences: BTreeMap::new(),
            lanes: BTreeSet::new(),
            is_short: true,
            due_ms: None,
            is_held: false,
            is_behind: false,
        };
        self.jobs.entry(job).or_insert_with(make);
        let open = state.occurrences.keys();
        self.changed
            .extend(open.map(|&occurrence| (job, occurrence)));
        self.plan_next(job, state);
    }

    /// Notes that an occurrence has changed.
    pub(super) fn note(&mut self, job: JobId, occurrence: u32) {
        self.changed.insert((job, occurrence));
        if let Some(queued) = self.jobs.get_mut(&job)
            && std::mem::take(&mut queued.is_held)
            && let Some(due_ms) = queued.due_ms
        {
            self.due.insert((due_ms, job));
        }
    }

    /// Has an occurrence ranked anew that has not changed itself.
    pub(super) fn rank_again(&mut self, job: JobId, occurrence: u32) {
        self.changed.insert((job, occurrence));
    }

    /// Notes when the next occurrence of a scheduled job is due.
    pub(super) fn plan_next(&mut self, job: JobId, state: &JobState) {
        let Some(queued) = self.jobs.get_mut(&job) else {
            return;
        };
        if let Some(due_ms) = queued.due_ms.take() {
            self.due.remove(&(due_ms, job));
        }
        queued.is_held = false;
        let schedule = &queued.plan.record.body.schedule;
        let next = state.next_occurrence();
        if schedule.times > 0 && next < schedule.occurrences() {
            let due_ms = schedule.due_ms(next);
            queued.due_ms = Some(due_ms);
            self.due.insert((due_ms, job));
        }
    }

    /// Returns a job of which an occurrence is due.
    pub(super) fn due_job(&self, now: WallTime) -> Option<JobId> {
        let first = self.due.first().filter(|(due_ms, _)| *due_ms <= now.0);
        first.map(|(_, job)| *job)
    }

    /// Returns whether an occurrence of a job is due.
    pub(super) fn is_due(&self, now: WallTime) -> bool {
        self.due_job(now).is_some()
    }

    /// Has the next occurrence of a job wait until another one changes. Returns whether the schedule
    /// has fallen behind since it was last on time.
    pub(super) fn hold_next(&mut self, job: JobId, is_overdue: bool) -> bool {
        let Some(queued) = self.jobs.get_mut(&job) else {
            return false;
        };
        queued.is_held = true;
        if let Some(due_ms) = queued.due_ms {
            self.due.remove(&(due_ms, job));
        }
        let was_behind = std::mem::replace(&mut queued.is_behind, is_overdue);
        is_overdue && !was_behind
    }

    /// Removes a job.
    pub(super) fn remove_job(&mut self, job: JobId) {
        let Some(queued) = self.jobs.remove(&job) else {
            return;
        };
        self.wide.remove(&job);
        if let Some(due_ms) = queued.due_ms {
            self.due.remove(&(due_ms, job));
        }
        for (number, occurrence) in queued.occurrences {
            self.unrank((job, number), occurrence);
        }
    }

    /// Ranks the occurrences that have changed or whose time has come. Returns whether some are left.
    pub(super) fn rank_changed(
        &mut self,
        ledger: &JobLedger,
        now: WallTime,
        by_value: bool,
        left_out: &BTreeSet<OccurrenceName>,
    ) -> bool {
        let now_ms = saturating_signed(now.0);
        if now_ms.saturating_add(MAX_CLOCK_STEP_MS) < self.ranked_at_ms {
            let jobs = self.jobs.iter();
            let all = jobs.flat_map(|(&job, queued)| {
                let numbers = queued.occurrences.keys();
                numbers.map(move |&number| (job, number))
            });
            self.changed.extend(all);
        }
        self.ranked_at_ms = now_ms;
        for _ in 0..MAX_RANKED {
            let timer = self.timers.first().filter(|(at, _)| *at <= now_ms).copied();
            let name = match timer {
                Some((_, name)) => name,
                None => match self.changed.first() {
                    Some(&name) => name,
                    None => return false,
                },
            };
            self.changed.remove(&name);
            let terms = RankTerms {
                now_ms,
                by_value,
                is_left_out: left_out.contains(&name),
            };
            self.rank(ledger, terms, name);
        }
        true
    }

    fn rank(&mut self, ledger: &JobLedger, terms: RankTerms, name: OccurrenceName) {
        let (job, number) = name;
        let state = ledger.jobs.get(&job).filter(|it| !it.phase.is_final());
        let Some(state) = state else {
            return self.remove_job(job);
        };
        let Some(queued) = self.jobs.get_mut(&job) else {
            return;
        };
        let before = queued.occurrences.remove(&number);
        let plan = Arc::clone(&queued.plan);
        self.set_short(job, state.unfinished_runs() < MIN_RUNNING_TASKS);
        match state.unfinished_tasks() >= WIDE_TASKS {
            true => self.wide.insert(job),
            false => self.wide.remove(&job),
        };
        if let Some(before) = before {
            self.unrank(name, before);
        }
        let Some(open) = state.occurrences.get(&number) else {
            return;
        };
        let ranks = OccurrenceRanks::new(terms, &plan, number, open);
        let queued_occurrence = QueuedOccurrence {
            deadline_ms: saturating_signed(plan.record.deadline_ms(number)),
            load: LoadShares::new(&plan, open, ranks.is_worthless),
            ranks,
        };
        for &(step, rank) in &queued_occurrence.ranks.steps {
            self.change_lane((job, step), |lane| {
                lane.insert((rank, number));
            });
        }
        if let Some(at) = queued_occurrence.ranks.changes_at {
            self.timers.insert((at, name));
        }
        if queued_occurrence.ranks.competes {
            self.competing.insert((queued_occurrence.deadline_ms, name));
        }
        self.load.add(&queued_occurrence.load);
        if let Some(queued) = self.jobs.get_mut(&job) {
            queued.occurrences.insert(number, queued_occurrence);
        }
    }

    fn unrank(&mut self, name: OccurrenceName, before: QueuedOccurrence) {
        let (job, number) = name;
        for &(step, rank) in &before.ranks.steps {
            self.change_lane((job, step), |lane| {
                lane.remove(&(rank, number));
            });
        }
        if let Some(at) = before.ranks.changes_at {
            self.timers.remove(&(at, name));
        }
        self.competing.remove(&(before.deadline_ms, name));
        self.load.remove(&before.load);
    }

    fn change_lane(
        &mut self,
        lane: (JobId, u16),
        change: impl FnOnce(&mut BTreeSet<(StepRank, u32)>),
    ) {
        let head = |steps: &BTreeSet<(StepRank, u32)>| {
            let first = steps.first();
            first.map(|&(rank, occurrence)| ready_key(lane, rank, occurrence))
        };
        let steps = self.lanes.entry(lane).or_default();
        let before = head(steps);
        change(steps);
        let after = head(steps);
        let is_empty = steps.is_empty();
        if is_empty {
            self.lanes.remove(&lane);
        }
        let mut is_short = false;
        if let Some(queued) = self.jobs.get_mut(&lane.0) {
            is_short = queued.is_short;
            match is_empty {
                true => queued.lanes.remove(&lane.1),
                false => queued.lanes.insert(lane.1),
            };
        }
        if before != after {
            if let Some(before) = before {
                self.heads.remove(&before);
                self.short_heads.remove(&before);
            }
            self.heads.extend(after);
            let short = after.filter(|key| is_short && key.rank.is_without_value());
            self.short_heads.extend(short);
        }
    }

    /// Notes whether fewer tasks of a job run than any job may have.
    fn set_short(&mut self, job: JobId, is_short: bool) {
        let Some(queued) = self.jobs.get_mut(&job) else {
            return;
        };
        if std::mem::replace(&mut queued.is_short, is_short) == is_short {
            return;
        }
        for &step in &queued.lanes {
            let first = self.lanes.get(&(job, step)).and_then(BTreeSet::first);
            let Some(&(rank, occurrence)) = first else {
                continue;
            };
            let key = ready_key((job, step), rank, occurrence);
            match is_short && rank.is_without_value() {
                true => self.short_heads.insert(key),
                false => self.short_heads.remove(&key),
            };
        }
    }

    /// Returns whether a step is ready.
    pub(super) fn has_ready_steps(&self) -> bool {
        !self.heads.is_empty()
    }

    /// Returns the occurrences that compete for the room in which jobs end on time, by deadline.
    pub(super) fn competitors(&self) -> impl Iterator<Item = Competitor<'_>> {
        self.competing.iter().filter_map(|&(deadline_ms, name)| {
            let queued = self.jobs.get(&name.0)?;
            let ranks = &queued.occurrences.get(&name.1)?.ranks;
            Some(Competitor {
                name,
                plan: &queued.plan,
                deadline_ms,
                work: ranks.work?,
                is_started: ranks.is_started,
            })
        })
    }
}

fn ready_key((job, step): (JobId, u16), rank: StepRank, occurrence: u32) -> ReadyKey {
    ReadyKey {
        rank,
        job,
        occurrence,
        step,
    }
}
