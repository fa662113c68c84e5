//! Steps with tasks that are ready to run, and their scheduling order.

use super::PlannerMachine;
use crate::ids::{JobId, StepName};
use crate::job::JobRecord;
use crate::ledger::{JobState, OccurrenceState};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::ClockReading;
use std::sync::Arc;

/// Number of running tasks below which a job's tasks start on any worker with room, even if they get
/// little CPU there. With one, the job would have none for a moment whenever that task ends.
const MIN_RUNNING_TASKS: usize = 2;

/// Time in milliseconds for which a job's first tasks wait for a worker on which they get the CPU
/// that they request.
const MAX_START_WAIT_MS: u64 = 1000;

/// Multiple of a job's latency objective after which its completion has no value, by the platform's
/// rules.
const MAX_OBJECTIVES: i64 = 3;

/// Step with tasks that are waiting to be placed.
pub(super) struct ReadyStep {
    /// Long-running steps first, then by deadline outlook, priority and slack in milliseconds. Jobs
    /// served by value that will be late are ordered by the work that they still need.
    pub(super) sort_key: (bool, DeadlineOutlook, u8, i64),
    /// Milliseconds left until the job is late even if the step starts now.
    pub(super) slack_ms: i64,
    pub(super) name: StepName,
    pub(super) record: Arc<JobRecord>,
    /// Indexes of the waiting tasks.
    pub(super) tasks: Vec<u32>,
    /// Number of tasks that start on any worker with room.
    pub(super) unconditional: usize,
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
    /// Too late to have any value; runs once nothing else waits.
    Worthless,
}

impl DeadlineOutlook {
    /// `slack` and `late_slack` are the milliseconds left until the job is late and until its
    /// completion has no value.
    fn new(slack: i64, late_slack: i64, started: bool) -> Self {
        match slack {
            _ if slack < 0 && late_slack < 0 => Self::Worthless,
            _ if slack < 0 => Self::Late,
            _ if started => Self::OnTimeStarted,
            _ => Self::OnTime,
        }
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn ready_steps(&self, now: ClockReading) -> Vec<ReadyStep> {
        let mut steps = Vec::new();
        for (&job, state) in &self.ledger.jobs {
            let Some(record) = state.record.as_ref().filter(|_| !state.phase.is_final()) else {
                continue;
            };
            for (&number, occurrence) in &state.occurrences {
                collect_ready(now, job, number, state, record, occurrence, &mut steps);
            }
        }
        steps
    }
}

/// Converts milliseconds, of which a caller may have sent any number.
pub(super) fn saturating_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

fn collect_ready(
    now: ClockReading,
    job: JobId,
    occurrence: u32,
    state: &JobState,
    record: &Arc<JobRecord>,
    tasks: &OccurrenceState,
    ready: &mut Vec<ReadyStep>,
) {
    let due = record.due_ms(occurrence);
    let objective = saturating_signed(record.objective_ms());
    let deadline = saturating_signed(record.deadline_ms(occurrence));
    let started = tasks.is_started();
    debug_assert!(!state.phase.is_final());
    let running = state.unfinished_runs().take(MIN_RUNNING_TASKS).count();
    let waited = now.wall.0.saturating_sub(due) >= MAX_START_WAIT_MS;
    let unconditional = if started || waited {
        MIN_RUNNING_TASKS - running
    } else {
        0
    };
    for (index, (spec, step)) in record.body.steps.iter().zip(&tasks.steps).enumerate() {
        let waiting_index = |(index, task): (usize, &crate::ledger::TaskState)| {
            task.is_waiting().then_some(index as u32)
        };
        let waiting: Vec<_> = step.iter().enumerate().filter_map(waiting_index).collect();
        // All members of a gang start together, so it is not ready unless all of them wait.
        let incomplete = spec.gang && waiting.len() < step.len();
        if waiting.is_empty() || incomplete || !tasks.is_step_ready(spec) {
            continue;
        }
        let remaining_path = record.body.remaining_path_ms(index) as i64;
        let slack = deadline.saturating_sub(now.wall.0 as i64 + remaining_path);
        let late_slack = slack.saturating_add(objective.saturating_mul(MAX_OBJECTIVES - 1));
        let outlook = DeadlineOutlook::new(slack, late_slack, started);
        ready.push(ReadyStep {
            sort_key: (!spec.long_running, outlook, record.terms.priority, slack),
            slack_ms: slack,
            name: StepName {
                job,
                occurrence,
                step: index as u16,
            },
            record: Arc::clone(record),
            tasks: waiting,
            unconditional,
        });
    }
}
