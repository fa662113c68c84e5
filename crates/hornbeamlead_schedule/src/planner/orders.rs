//! Start orders, kept from the choice of a host until the host's table shows the attempt.

use crate::planner::hosts::HostEntry;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, Incarnation, TaskId};
use hornbeamlead_core::message::control::TaskCommand;
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::TaskOrder;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time that a start command must leave the agent to be sent.
const MIN_START_TIME: Duration = Duration::from_millis(100);

/// Order to start an attempt on a host.
#[derive(Clone, Debug)]
pub(crate) struct StartOrder {
    /// Chosen host.
    pub(crate) host: HostId,
    /// Description of the attempt for the worker.
    pub(crate) order: TaskOrder,
    /// When the command was last sent; `None` if it was never sent.
    pub(crate) sent_at: Option<MonoTime>,
    /// Incarnation of the agent to which it was sent; after a restart the agent may not know what
    /// became of the command.
    sent_to: Option<Incarnation>,
    /// Whether the order must no longer be sent.
    pub(crate) cancelled: bool,
}

/// Start orders of this planner.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderTable {
    orders: BTreeMap<AttemptId, StartOrder>,
}

impl OrderTable {
    /// Adds an order whose start record is about to be appended.
    pub(crate) fn add(&mut self, host: HostId, order: TaskOrder) {
        let attempt = order.attempt.clone();
        let start = StartOrder {
            host,
            order,
            sent_at: None,
            sent_to: None,
            cancelled: false,
        };
        self.orders.insert(attempt, start);
    }

    pub(crate) fn get(&self, attempt: &AttemptId) -> Option<&StartOrder> {
        self.orders.get(attempt)
    }

    /// Returns the orders that were never sent and are not cancelled.
    pub(crate) fn unsent(&self) -> impl Iterator<Item = (&AttemptId, &HostId)> {
        let unsent = |start: &&StartOrder| start.sent_at.is_none() && !start.cancelled;
        let orders = self.orders.values().filter(unsent);
        orders.map(|start| (&start.order.attempt, &start.host))
    }

    /// Returns whether there is an order for an attempt of a task.
    pub(crate) fn contains_task(&self, task: &TaskId) -> bool {
        self.orders.keys().any(|attempt| attempt.task == *task)
    }

    /// Cancels an order; a command that was already sent may still be executed.
    pub(crate) fn cancel(&mut self, attempt: &AttemptId) {
        if let Some(start) = self.orders.get_mut(attempt) {
            start.cancelled = true;
        }
    }

    /// Removes the orders that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(&AttemptId, &StartOrder) -> bool) {
        self.orders.retain(|attempt, start| keep(attempt, start));
    }

    /// Returns the total size of the orders for a host that its table does not show yet.
    pub(crate) fn pending_size(&self, host: &HostId, entry: &HostEntry) -> ResourceSize {
        self.orders
            .values()
            .filter(|start| start.host == *host && entry.status(&start.order.attempt).is_none())
            .fold(ResourceSize::default(), |sum, start| {
                sum.plus(&start.order.size)
            })
    }

    /// Returns the start commands for a host, for orders whose start is `recorded` on the log.
    pub(crate) fn commands(
        &mut self,
        host: &HostId,
        entry: &HostEntry,
        start_by: MonoTime,
        now: MonoTime,
        recorded: impl Fn(&AttemptId) -> bool,
    ) -> Vec<TaskCommand> {
        let agent_now = entry.clock.plus(now.since(entry.received));
        if start_by < agent_now.plus(MIN_START_TIME) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for (attempt, start) in &mut self.orders {
            if start.host != *host || start.cancelled || !recorded(attempt) {
                continue;
            }
            let agent_restarted = start
                .sent_to
                .is_some_and(|incarnation| incarnation != entry.incarnation);
            if agent_restarted || entry.status(attempt).is_some() {
                start.cancelled = true;
                continue;
            }
            start.sent_at = Some(now);
            start.sent_to = Some(entry.incarnation);
            commands.push(TaskCommand::Start {
                order: start.order.clone(),
                start_by,
            });
        }
        commands
    }
}

/// Returns the deadline for a start, by the agent's clock.
///
/// `tail_read_at` is the start, by the planner's clock, of the read of the notes that showed no
/// drain.
pub(crate) fn start_by(
    entry: &HostEntry,
    tail_read_at: MonoTime,
    schedule: &SchedulePolicy,
) -> MonoTime {
    let bound = schedule.start_bound;
    if tail_read_at >= entry.received {
        return entry
            .clock
            .plus(tail_read_at.since(entry.received))
            .plus(bound);
    }
    entry
        .clock
        .plus(bound)
        .minus(entry.received.since(tail_read_at))
}
