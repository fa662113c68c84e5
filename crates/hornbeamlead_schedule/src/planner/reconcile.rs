//! Compares the hosts' tables with the log: what to record, and what to command.

use crate::cell_log::{AttemptState, CellState, LatestAttempt};
use crate::planner::hosts::HostEntry;
use crate::planner::orders::StartOrder;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::event::PLATFORM_TIMEOUT;
use hornbeamlead_core::ids::{AttemptId, HostId};
use hornbeamlead_core::message::control::TaskCommand;
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::record::AttemptChange;
use hornbeamlead_core::task::{CheckpointToken, TaskPhase, TaskStatus};

/// How a lost or stopped attempt is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossRule {
    /// Resumed in a new attempt.
    Resume,
    /// Never started again; its outcome stays unknown.
    NeverAgain,
    /// Its job was withdrawn.
    Withdrawn,
}

impl LossRule {
    /// Returns the rule of a task; `None` stands for a withdrawn job.
    pub(crate) fn of(delivery: Option<DeliveryMode>) -> Self {
        match delivery {
            Some(DeliveryMode::Resumable) => Self::Resume,
            Some(DeliveryMode::AtMostOnce) => Self::NeverAgain,
            None => Self::Withdrawn,
        }
    }

    fn change(self, token: Option<CheckpointToken>) -> AttemptChange {
        match self {
            Self::Resume => AttemptChange::Released { token },
            Self::NeverAgain => AttemptChange::Ended {
                phase: TaskPhase::Lapsed,
            },
            Self::Withdrawn => AttemptChange::Ended {
                phase: TaskPhase::Stopped,
            },
        }
    }
}

/// Returns the change that a host's report on a started attempt calls for.
pub(crate) fn reported_change(
    status: &TaskStatus,
    standing: &LatestAttempt,
    rule: LossRule,
    give_up: bool,
) -> Option<AttemptChange> {
    match status.phase {
        TaskPhase::Running => newer_checkpoint(status, standing),
        TaskPhase::Finished => Some(AttemptChange::Ended {
            phase: TaskPhase::Finished,
        }),
        TaskPhase::Failed if give_up || rule != LossRule::Resume => Some(AttemptChange::Ended {
            phase: TaskPhase::Failed,
        }),
        TaskPhase::Failed | TaskPhase::Stopped | TaskPhase::Lapsed => {
            Some(rule.change(status.checkpoint.clone()))
        }
    }
}

fn newer_checkpoint(status: &TaskStatus, standing: &LatestAttempt) -> Option<AttemptChange> {
    let known = standing.token.as_ref().map(|token| token.progress_ms);
    let token = status.checkpoint.clone()?;
    (Some(token.progress_ms) > known).then_some(AttemptChange::Checkpointed { token })
}

/// What is known of a started attempt that its host's table lacks.
#[derive(Debug)]
pub(crate) struct AbsentAttempt<'a> {
    /// Host of the start record; `None` when it was never heard of.
    pub(crate) entry: Option<&'a HostEntry>,
    /// Whether no lease can be standing there any more.
    pub(crate) lapsed: bool,
    /// Order of this planner, if it made the start record.
    pub(crate) start: Option<&'a StartOrder>,
    /// Whether the start may still be commanded.
    pub(crate) may_send: bool,
}

/// Returns the change that an attempt absent from its host's table calls for.
pub(crate) fn absent_change(
    absent: &AbsentAttempt<'_>,
    rule: LossRule,
    now: MonoTime,
    schedule: &SchedulePolicy,
) -> Option<AttemptChange> {
    let never_sent = absent.start.is_some_and(|start| start.sent_at.is_none());
    let given_up = absent.start.is_some_and(|start| start.cancelled);
    match never_sent {
        true if absent.lapsed || given_up || !absent.may_send => {
            return Some(AttemptChange::Released { token: None });
        }
        true => return None,
        false if absent.lapsed => return Some(rule.change(None)),
        false => {}
    }
    let entry = absent.entry?;
    let sent_at = absent
        .start
        .and_then(|start| start.sent_at)
        .unwrap_or_default();
    let since = entry.obeys_since?.max(sent_at);
    let over = since
        .plus(schedule.start_bound)
        .plus(PLATFORM_TIMEOUT)
        .plus(schedule.margin);
    let sure = entry.table.is_some() && entry.table_at > over && now > over;
    sure.then(|| rule.change(None))
}

/// Returns the command that an attempt in a host's table calls for, from the log's side.
pub(crate) fn table_command(
    status: &TaskStatus,
    host: &HostId,
    cell: &CellState,
) -> Option<TaskCommand> {
    let attempt = &status.attempt;
    let current = runs_here(attempt, host, cell);
    match status.phase {
        TaskPhase::Running if current => None,
        TaskPhase::Running => Some(TaskCommand::Stop {
            attempt: attempt.clone(),
        }),
        _ if current => None,
        _ => Some(TaskCommand::Forget {
            attempt: attempt.clone(),
        }),
    }
}

/// Returns whether the log has an attempt as started on a host and not ended.
pub(crate) fn runs_here(attempt: &AttemptId, host: &HostId, cell: &CellState) -> bool {
    cell.attempts().get(&attempt.task).is_some_and(|standing| {
        standing.number == attempt.number
            && matches!(&standing.state, AttemptState::Started { host: on } if on == host)
    })
}
