//! Steps whose tasks are due, in the order in which they are served.

use super::PlannerMachine;
use crate::ids::{JobId, StepName};
use crate::job::JobRecord;
use crate::ledger::{JobState, OccurrenceState};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::ClockReading;
use std::sync::Arc;

/// Objectives after which a finished job is worth nothing any more, as the platform counts.
const LATE_OBJECTIVES: i64 = 3;

/// Step with tasks that wait.
pub(super) struct ReadyStep {
    /// Lasting steps come first, then by prospect, by priority and by the time that is left to be
    /// on time.
    pub(super) order: (bool, StepProspect, u8, i64),
    pub(super) name: StepName,
    pub(super) record: Arc<JobRecord>,
    pub(super) tasks: Vec<u32>,
}

/// What a start now can still gain for a job, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StepProspect {
    /// On time, and work has gone into it that would be late in vain.
    OnTimeBegun,
    /// On time.
    OnTime,
    /// Late, but worth something.
    Late,
    /// Too late to be worth anything; it is done all the same once nothing else waits.
    Hopeless,
}

impl StepProspect {
    /// Judges by the times in milliseconds that are left to be on time and to be worth anything.
    fn new(slack: i64, late_slack: i64, begun: bool) -> Self {
        match slack {
            _ if slack < 0 && late_slack < 0 => Self::Hopeless,
            _ if slack < 0 => Self::Late,
            _ if begun => Self::OnTimeBegun,
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

fn collect_ready(
    now: ClockReading,
    job: JobId,
    occurrence: u32,
    state: &JobState,
    record: &Arc<JobRecord>,
    tasks: &OccurrenceState,
    into: &mut Vec<ReadyStep>,
) {
    let due = record
        .body
        .schedule
        .due_ms(occurrence)
        .max(record.accepted_ms);
    let chain = f64::from(record.terms.target_factor) * record.body.critical_path_ms() as f64;
    let objective = chain as i64 + i64::from(record.terms.target_latency_ms);
    let deadline = due as i64 + objective;
    let begun = tasks.steps.iter().flatten().any(|task| !task.is_waiting());
    debug_assert!(!state.phase.is_final());
    for (index, (spec, step)) in record.body.steps.iter().zip(&tasks.steps).enumerate() {
        let waits = |(index, task): (usize, &crate::ledger::TaskState)| {
            task.is_waiting().then_some(index as u32)
        };
        let waiting: Vec<_> = step.iter().enumerate().filter_map(waits).collect();
        // A gang runs whole: it waits until all its members are free.
        let broken = spec.gang && waiting.len() < step.len();
        if waiting.is_empty() || broken || !tasks.is_step_ready(spec) {
            continue;
        }
        let rest = record.body.remaining_path_ms(index) as i64;
        let slack = deadline - now.wall.0 as i64 - rest;
        let late_slack = slack + (LATE_OBJECTIVES - 1) * objective;
        let prospect = StepProspect::new(slack, late_slack, begun);
        into.push(ReadyStep {
            order: (!spec.long_running, prospect, record.terms.priority, slack),
            name: StepName {
                job,
                occurrence,
                step: index as u16,
            },
            record: Arc::clone(record),
            tasks: waiting,
        });
    }
}
