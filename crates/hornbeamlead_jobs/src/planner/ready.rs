//! Steps with tasks that are ready to run, and their scheduling order.

use super::PlannerMachine;
use super::job_plan::{JobPlan, TaskShape};
use super::pass_rooms::PassRooms;
use super::work_queue::{QueueFront, ReadyKey};
use crate::ids::StepName;
use crate::job::{JobRecord, StepSpec};
use crate::ledger::{OccurrenceState, StepState};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::ClockReading;
use std::sync::Arc;

/// Number of running tasks below which a job's tasks start on any worker with room, even if they get
/// little CPU there. With one, the job would have none for a moment whenever that task ends.
pub(super) const MIN_RUNNING_TASKS: usize = 2;

/// Time in milliseconds for which a job's first tasks wait for a worker on which they get the CPU
/// that they request.
const MAX_START_WAIT_MS: u64 = 1000;

/// Multiple of a job's latency objective after which its completion has no value, by the platform's
/// rules.
const MAX_OBJECTIVES: i64 = 3;

/// Part of a running task's work that is assumed to be left.
const RUNNING_WORK_LEFT: f64 = 0.5;

/// Subtracted from times as orders, so that they come before amounts of work.
const TIME_ORDER: i64 = 1 << 61;

/// Most tasks that a pass considers, without the members of gangs. Each may look at all hosts, and
/// each start is an order, a record and a log line.
pub(super) const MAX_PASS_TASKS: usize = 1024;

/// Tasks of a step that a pass considers in any case.
pub(super) const MIN_STEP_TASKS: usize = 4;

/// Step with tasks that are waiting to be placed.
pub(super) struct ReadyStep {
    /// Milliseconds left until the job is late even if the step starts now.
    pub(super) slack_ms: i64,
    pub(super) name: StepName,
    pub(super) record: Arc<JobRecord>,
    pub(super) shape: Arc<TaskShape>,
    /// Indices of the first waiting tasks, as many as the pass considers.
    pub(super) tasks: Vec<u32>,
    /// Whether more tasks wait.
    pub(super) has_more: bool,
    /// Number of tasks that start on any worker with room.
    pub(super) unconditional: usize,
    /// Whether the step belongs to the backlog of a late schedule.
    pub(super) is_overdue: bool,
    /// Whether the job is too late to have any value.
    pub(super) is_without_value: bool,
    /// Whether an attempt of the job may be running.
    pub(super) is_job_running: bool,
}

/// Whether a job can still meet its deadline if the step starts now, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeadlineOutlook {
    /// On time, and tasks of the job have already started, whose work is wasted if it ends late.
    OnTimeStarted,
    /// On time.
    OnTime,
    /// On time by itself, but there is too little room for it beside jobs that are worth more.
    Deferred,
    /// Late, but its completion still has some value.
    Late,
    /// Too late to have any value; runs once nothing else waits. Of such jobs, those with hardly anything
    /// running come first, so that none waits for all of another.
    Worthless,
    /// Backlog of a late schedule, the oldest occurrence first.
    Overdue,
}

/// Rank of a step that is ready: the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRank {
    /// Whether the step is not long-running.
    has_end: bool,
    pub(super) outlook: DeadlineOutlook,
    priority: u8,
    /// The latest time at which the step can start and the job be on time, or the work that is left of a
    /// job that is served by value and will be late.
    order: i64,
}

impl StepRank {
    /// Returns whether the job is too late to have any value. Long-running tasks never are.
    pub(super) fn is_without_value(self) -> bool {
        self.has_end && self.outlook >= DeadlineOutlook::Worthless
    }
}

/// How the steps of an occurrence are served.
#[derive(Clone, Debug, Default)]
pub(super) struct OccurrenceRanks {
    /// Steps that are ready, by index.
    pub(super) steps: Vec<(u16, StepRank)>,
    /// Work that is left, in core-milliseconds; `None` if the occurrence has no end or none is left.
    pub(super) work: Option<f64>,
    /// Whether the occurrence competes for the room in which jobs end on time.
    pub(super) competes: bool,
    /// Whether the occurrence is served by the work that it still needs.
    pub(super) is_deferred: bool,
    /// Whether the occurrence is too late to be worth anything, even if its next step started now.
    pub(super) is_worthless: bool,
    /// Whether a task has started.
    pub(super) is_started: bool,
    /// When this changes without an event, in milliseconds since the Unix epoch.
    pub(super) changes_at: Option<i64>,
}

/// Points in time at which something changes, of which the next one counts.
struct ChangeTimes {
    now_ms: i64,
    next: Option<i64>,
}

impl ChangeTimes {
    /// Returns whether a time has passed, and keeps it if not.
    fn has_passed(&mut self, at_ms: i64) -> bool {
        let has_passed = self.now_ms >= at_ms;
        if !has_passed {
            self.next = Some(self.next.map_or(at_ms, |next| next.min(at_ms)));
        }
        has_passed
    }
}

/// What the ranks of an occurrence depend on beside its job and its state.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankTerms {
    /// Time of day, in milliseconds since the Unix epoch.
    pub(super) now_ms: i64,
    /// Whether jobs are served by value.
    pub(super) by_value: bool,
    /// Whether the occurrence was left out of those that can end on time together.
    pub(super) is_left_out: bool,
}

impl OccurrenceRanks {
    /// Ranks the steps of an occurrence that are ready.
    pub(super) fn new(
        terms: RankTerms,
        plan: &JobPlan,
        number: u32,
        state: &OccurrenceState,
    ) -> Self {
        let record = &plan.record;
        let mut times = ChangeTimes {
            now_ms: terms.now_ms,
            next: None,
        };
        let deadline = saturating_signed(record.deadline_ms(number));
        let grace = plan.objective_ms.saturating_mul(MAX_OBJECTIVES - 1);
        let is_started = state.is_started();
        // An occurrence that has started in time is not part of a backlog.
        let overdue_at = plan.overdue_at_ms(number).filter(|_| !is_started);
        let is_overdue =
            plan.was_overdue(number) || overdue_at.is_some_and(|at| times.has_passed(at));
        let work = work_left(plan, state);
        let open_path = longest_path(plan, state, |step| !step.waiting().is_empty());
        let latest_start = deadline.saturating_sub(open_path);
        let is_late = times.has_passed(latest_start.saturating_add(1));
        let has_work = work.is_some();
        let is_deferred = terms.by_value && has_work && (is_late || terms.is_left_out);
        let next_path = first_open_path(plan, state);
        let worthless_at = deadline.saturating_add(grace).saturating_sub(next_path);
        let has_objective = plan.objective_ms > 0;
        let is_worthless = has_objective && times.has_passed(worthless_at.saturating_add(1));
        let mut steps = Vec::new();
        for (index, spec) in record.body.steps.iter().enumerate() {
            let (Some(step), Some(step_plan)) = (state.steps.get(index), plan.steps.get(index))
            else {
                continue;
            };
            let is_ready = is_complete(spec, step) && state.is_step_ready(spec);
            if step.waiting().is_empty() || !is_ready {
                continue;
            }
            let latest_start = deadline.saturating_sub(step_plan.path_ms);
            let late_end = latest_start.saturating_add(grace);
            let late = times.has_passed(latest_start.saturating_add(1));
            let outlook = match late {
                _ if is_overdue => DeadlineOutlook::Overdue,
                true if times.has_passed(late_end.saturating_add(1)) => DeadlineOutlook::Worthless,
                true => DeadlineOutlook::Late,
                false if is_deferred => DeadlineOutlook::Deferred,
                false if is_started => DeadlineOutlook::OnTimeStarted,
                false => DeadlineOutlook::OnTime,
            };
            let order = match outlook {
                DeadlineOutlook::Overdue => saturating_signed(record.body.schedule.due_ms(number)),
                _ if is_deferred => work.unwrap_or_default() as i64,
                _ => latest_start.saturating_sub(TIME_ORDER),
            };
            let rank = StepRank {
                has_end: !spec.long_running,
                outlook,
                priority: record.terms.priority,
                order,
            };
            steps.push((index as u16, rank));
        }
        Self {
            steps,
            work,
            competes: has_work && !is_late && !is_overdue,
            is_deferred,
            is_worthless: is_worthless || is_overdue,
            is_started,
            changes_at: times.next,
        }
    }
}

/// Returns the work that is left of an occurrence, in core-milliseconds; `None` if it has no end or
/// none is left.
fn work_left(plan: &JobPlan, state: &OccurrenceState) -> Option<f64> {
    let specs = plan.record.body.steps.iter();
    let work = specs.zip(&state.steps).map(|(spec, step)| {
        let waiting = step.waiting().len();
        let running = step.counts().unfinished - waiting;
        (waiting as f64 + running as f64 * RUNNING_WORK_LEFT) * spec.task_work()
    });
    let work: f64 = work.sum();
    (plan.has_end && work > 0.0).then_some(work)
}

/// Returns whether a step can start. All members of a gang start together, so it is not ready unless
/// all of them wait.
fn is_complete(spec: &StepSpec, step: &StepState) -> bool {
    !(spec.gang && step.is_started())
}

fn longest_path(
    plan: &JobPlan,
    state: &OccurrenceState,
    counts: impl Fn(&StepState) -> bool,
) -> i64 {
    let steps = plan.steps.iter().zip(&state.steps);
    let paths = steps
        .filter(|(_, step)| counts(step))
        .map(|it| it.0.path_ms);
    paths.max().unwrap_or(0)
}

/// Returns the path from the first step that is not done to the end of the job.
fn first_open_path(plan: &JobPlan, state: &OccurrenceState) -> i64 {
    let mut steps = plan.steps.iter().zip(&state.steps);
    let open = steps.find(|(_, step)| !step.is_done());
    let open = open.map(|it| it.0).or(plan.steps.first());
    open.map_or(0, |step| step.path_ms)
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Returns the steps with waiting tasks that a pass considers, in scheduling order.
    pub(super) fn ready_steps(&self, now: ClockReading, front: &QueueFront) -> Vec<ReadyStep> {
        let rooms = PassRooms::default();
        let mut tasks_left = MAX_PASS_TASKS;
        let mut steps = Vec::new();
        for key in &front.keys {
            let limit = tasks_left.max(MIN_STEP_TASKS);
            if let Some(step) = self.ready_step(now, key, &rooms, limit) {
                tasks_left = tasks_left.saturating_sub(step.tasks.len());
                steps.push(step);
            }
        }
        steps
    }

    /// Returns a step that is ready, unless none of its tasks waits any more or finds room.
    pub(super) fn ready_step(
        &self,
        now: ClockReading,
        key: &ReadyKey,
        rooms: &PassRooms,
        limit: usize,
    ) -> Option<ReadyStep> {
        let &ReadyKey {
            rank,
            job,
            occurrence,
            step,
        } = key;
        let plan = self.work.plan(job)?;
        let step_plan = plan.steps.get(usize::from(step))?;
        if rooms.is_full(&step_plan.shape) {
            return None;
        }
        let state = self.ledger.jobs.get(&job)?;
        let record = state.record.as_ref()?;
        let open = state.occurrences.get(&occurrence)?;
        let spec = record.body.steps.get(usize::from(step))?;
        let tasks = open.steps.get(usize::from(step))?;
        let waiting = tasks.waiting();
        // The queue may not have taken note of the latest change yet.
        let is_ready = is_complete(spec, tasks) && open.is_step_ready(spec);
        if state.phase.is_final() || waiting.is_empty() || !is_ready {
            return None;
        }
        let count = match spec.gang {
            true => waiting.len(),
            false => limit,
        };
        let tasks: Vec<u32> = waiting.iter().take(count).collect();
        let waited = now.wall.0.saturating_sub(record.due_ms(occurrence)) >= MAX_START_WAIT_MS;
        let running = state.unfinished_runs().min(MIN_RUNNING_TASKS);
        let is_busy = self.overload.is_busy(&record.terms.service);
        let unconditional = match open.is_started() || waited {
            true if !(is_busy && self.work.is_deferred(job, occurrence)) => {
                MIN_RUNNING_TASKS - running
            }
            _ => 0,
        };
        let deadline = saturating_signed(record.deadline_ms(occurrence));
        let latest_start = deadline.saturating_sub(step_plan.path_ms);
        Some(ReadyStep {
            slack_ms: latest_start.saturating_sub(saturating_signed(now.wall.0)),
            name: StepName {
                job,
                occurrence,
                step,
            },
            record: Arc::clone(record),
            shape: Arc::clone(&step_plan.shape),
            has_more: tasks.len() < waiting.len(),
            tasks,
            unconditional,
            is_overdue: rank.outlook == DeadlineOutlook::Overdue,
            is_without_value: rank.is_without_value(),
            is_job_running: state.unfinished_runs() > 0,
        })
    }
}

/// Converts milliseconds, of which a caller may have sent any number.
pub(super) fn saturating_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
