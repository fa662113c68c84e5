//! Reconciles the hosts' tables with the log: changes to record and commands to send.

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

/// Treatment of a lost or stopped attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossPolicy {
    /// The task is resumed in a new attempt.
    Resume,
    /// The task is never started again; its outcome stays unknown.
    NoRetry,
    /// The task ends because its job was withdrawn.
    Withdrawn,
}

impl LossPolicy {
    /// Returns the policy for a delivery mode; `None` means that the job was withdrawn.
    pub(crate) fn of(delivery: Option<DeliveryMode>) -> Self {
        match delivery {
            Some(DeliveryMode::Resumable) => Self::Resume,
            Some(DeliveryMode::AtMostOnce) => Self::NoRetry,
            None => Self::Withdrawn,
        }
    }

    fn change(self, token: Option<CheckpointToken>) -> AttemptChange {
        match self {
            Self::Resume => AttemptChange::Released { token },
            Self::NoRetry => AttemptChange::Ended {
                phase: TaskPhase::Lapsed,
            },
            Self::Withdrawn => AttemptChange::Ended {
                phase: TaskPhase::Stopped,
            },
        }
    }
}

/// Returns the change to record for a started attempt that its host reports.
pub(crate) fn reported_change(
    status: &TaskStatus,
    latest: &LatestAttempt,
    loss_policy: LossPolicy,
    retries_exhausted: bool,
) -> Option<AttemptChange> {
    match status.phase {
        TaskPhase::Running => newer_checkpoint(status, latest),
        TaskPhase::Finished => Some(AttemptChange::Ended {
            phase: TaskPhase::Finished,
        }),
        TaskPhase::Failed if retries_exhausted || loss_policy != LossPolicy::Resume => {
            Some(AttemptChange::Ended {
                phase: TaskPhase::Failed,
            })
        }
        TaskPhase::Failed | TaskPhase::Stopped | TaskPhase::Lapsed => {
            Some(loss_policy.change(status.checkpoint.clone()))
        }
    }
}

fn newer_checkpoint(status: &TaskStatus, latest: &LatestAttempt) -> Option<AttemptChange> {
    let known = latest.token.as_ref().map(|token| token.progress_ms);
    let token = status.checkpoint.clone()?;
    (Some(token.progress_ms) > known).then_some(AttemptChange::Checkpointed { token })
}

/// Started attempt that is missing from its host's table.
#[derive(Debug)]
pub(crate) struct AbsentAttempt<'a> {
    /// Entry of the host in the start record; `None` if the host is unknown.
    pub(crate) entry: Option<&'a HostEntry>,
    /// Whether the host's lease has certainly expired.
    pub(crate) lapsed: bool,
    /// Order of this planner; `None` if an earlier planner wrote the start record.
    pub(crate) start: Option<&'a StartOrder>,
    /// Whether start commands may be sent now.
    pub(crate) may_send: bool,
}

/// Returns the change to record for an attempt that is missing from its host's table.
pub(crate) fn absent_change(
    absent: &AbsentAttempt<'_>,
    loss_policy: LossPolicy,
    now: MonoTime,
    schedule: &SchedulePolicy,
) -> Option<AttemptChange> {
    let never_sent = absent.start.is_some_and(|start| start.sent_at.is_none());
    let cancelled = absent.start.is_some_and(|start| start.cancelled);
    match never_sent {
        true if absent.lapsed || cancelled || !absent.may_send => {
            return Some(AttemptChange::Released { token: None });
        }
        true => return None,
        false if absent.lapsed => return Some(loss_policy.change(None)),
        false => {}
    }
    let entry = absent.entry?;
    let sent_at = absent
        .start
        .and_then(|start| start.sent_at)
        .unwrap_or_default();
    let since = entry.follows_since?.max(sent_at);
    let start_deadline = since
        .plus(schedule.start_bound)
        .plus(PLATFORM_TIMEOUT)
        .plus(schedule.margin);
    let conclusive =
        entry.table.is_some() && entry.table_at > start_deadline && now > start_deadline;
    conclusive.then(|| loss_policy.change(None))
}

/// Returns the command for an attempt in a host's table that is not current according to the log.
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

/// Returns whether the log shows an attempt as started on a host and not ended.
pub(crate) fn runs_here(attempt: &AttemptId, host: &HostId, cell: &CellState) -> bool {
    cell.attempts().get(&attempt.task).is_some_and(|latest| {
        latest.number == attempt.number
            && matches!(&latest.state, AttemptState::Started { host: on } if on == host)
    })
}
